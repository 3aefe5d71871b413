package main

import (
	"bytes"
	"errors"
	"net/http"
	"testing"

	"dogwooddrift.org/drift/httpreply"
	"dogwooddrift.org/drift/httpreply/replytest"
)

// Guards against a state that is printed although the reply with it is not HTTP.
func TestMalformedReplyOfAnInstanceIsNone(t *testing.T) {
	for forms, want := range map[*[]replytest.Case]error{&replytest.Broken: httpreply.ErrMalformed, &replytest.Odd: nil} {
		for _, c := range *forms {
			address, _ := replytest.StartPeer(t, c.Unframed, func(*http.Request) string {
				return c.Encode(replytest.Message{Status: "200 OK", Body: `{"instance":"edge-1"}`})
			})
			out := &bytes.Buffer{}
			if err := dump(t.Context(), out, address); !errors.Is(err, want) || (want == nil) != (out.Len() > 0) {
				t.Errorf("%s: %v, %q", c.Name, err, out)
			}
		}
	}
}
