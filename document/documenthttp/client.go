// Package documenthttp reads and watches the platform over HTTP and decodes what it publishes.
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
)

// The paths that the platform serves.
const (
	DocumentPath  = "/v1/document"
	InstancesPath = "/v1/instances"
)

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client of the platform at base, such as "http://127.0.0.1:7000".
func New(base string, client *http.Client) *Client { return &Client{base: base, client: client} }

// answerMargin is how long the platform may take to answer a call of Document, beyond the wait.
const answerMargin = 2 * time.Second

// Document returns the document that the platform serves. With after > 0 the call waits for a revision above it,
// for at most wait, and returns nil without an error if none came.
func (c *Client) Document(ctx context.Context, after document.Revision, wait time.Duration) (*document.Document, error) {
	d, _, err := c.ReadDocument(ctx, after, wait, wait+answerMargin)
	return d, err
}

// ReadDocument is like Document and returns the text too. The answer must begin within limit, so that a platform
// that cannot be reached is noticed soon, and end within bodyLimit more.
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

// ReadInstances is like ReadDocument for the instance list.
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

// bodyLimit is how long the body of an answer may take: a megabyte at 2 Mbit/s.
const bodyLimit = 4 * time.Second

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
	begin := time.AfterFunc(limit, cancel)
	defer begin.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fail("build request: %v", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fail("read %s: %v", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !begin.Stop() {
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
