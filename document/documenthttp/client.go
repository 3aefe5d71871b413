// Package documenthttp reads the platform's document and instance list over HTTP, with long polling for newer
// revisions.
package documenthttp

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/document/documentjson"
	"dogwooddrift.org/drift/httpreply"
)

// URL paths of the platform.
const (
	DocumentPath  = "/v1/document"
	InstancesPath = "/v1/instances"
)

// Client reads values from the platform. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client for the platform at the base URL, such as "http://127.0.0.1:7000". It has connections of its own.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: httpreply.Client(client)}
}

// answerMargin is the time that Document allows for an answer in addition to the long-poll wait.
const answerMargin = 2 * time.Second

// Document returns the document that the platform serves. If after is not 0, the platform holds the request for at most
// wait until a revision above after exists; Document returns nil without an error if none appears.
func (c *Client) Document(ctx context.Context, after document.Revision, wait time.Duration) (*document.Document, error) {
	d, _, err := c.ReadDocument(ctx, after, wait, wait+answerMargin)
	return d, err
}

// ReadDocument is like Document but also returns the encoded content. The answer must begin within limit, so that an
// unreachable platform is detected early, and end within a further bodyLimit. Errors wrap document.ErrUnavailable or
// document.ErrMalformed.
func (c *Client) ReadDocument(ctx context.Context, after document.Revision, wait, limit time.Duration) (*document.Document, document.Content, error) {
	text, err := c.get(ctx, DocumentPath, after, wait, limit)
	if err != nil || text == nil {
		return nil, document.Content{}, err
	}
	doc, err := documentjson.Document(text)
	if err != nil {
		return nil, document.Content{}, oops.In("platform").With("path", DocumentPath).Wrap(err)
	}
	return doc, document.Content{Revision: doc.Revision, Bytes: text}, nil
}

// ReadInstances reads the instance list as ReadDocument reads the document.
func (c *Client) ReadInstances(ctx context.Context, after document.Revision, wait, limit time.Duration) (*document.InstanceList, document.Content, error) {
	text, err := c.get(ctx, InstancesPath, after, wait, limit)
	if err != nil || text == nil {
		return nil, document.Content{}, err
	}
	list, err := documentjson.InstanceList(text)
	if err != nil {
		return nil, document.Content{}, oops.In("platform").With("path", InstancesPath).Wrap(err)
	}
	return list, document.Content{Revision: list.Revision, Bytes: text}, nil
}

// bodyLimit bounds the time for the body of an answer: one megabyte at 2 Mbit/s.
const bodyLimit = 4 * time.Second

// get reads a value. It returns nil without an error if the platform has no revision above after.
func (c *Client) get(ctx context.Context, path string, after document.Revision, wait, limit time.Duration) ([]byte, error) {
	query := url.Values{}
	if after > 0 {
		query.Set("after", strconv.FormatUint(uint64(after), 10))
		query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	fail := func(format string, args ...any) error {
		return oops.In("platform").With("path", path).Wrapf(document.ErrUnavailable, format, args...)
	}
	ctx, cancel := context.WithTimeout(ctx, limit+bodyLimit)
	defer cancel()
	headerTimer := time.AfterFunc(limit, cancel)
	defer headerTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fail("build request: %v", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fail("read %s: %v", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !headerTimer.Stop() {
		return nil, fail("read %s: no answer within %v", path, limit)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, nil
	default:
		return nil, fail("read %s: status %d", path, resp.StatusCode)
	}
	text, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, document.MaxContentBytes))
	if err != nil {
		return nil, fail("read %s: %v", path, err)
	}
	return text, nil
}
