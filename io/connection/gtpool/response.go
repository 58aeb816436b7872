package gtpool

import (
	"io"
	"net/http"

	"github.com/joomcode/errorx"
)

// maxStatus is the highest valid status of a response.
const maxStatus = 599

// readHead reads the head of the next response to req. It returns nil without an error if that
// response is to be passed over: it is a mismatched one, whose body it has read. An interim
// response is returned, and a caller has to read on after it.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	if isInterim(resp) || c.pool.IsMismatched == nil || !c.pool.IsMismatched(req, resp) {
		return resp, nil
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return nil, err
}

// isInterim reports whether another response follows.
func isInterim(resp *http.Response) bool { return resp.StatusCode < http.StatusOK }

// checkStatus returns an error if the status of a response is none that a server may send
// (RFC 9110, section 15), or if an interim response says that it has a body. Where the
// next response begins is then unknown. No request asks to switch protocols.
func checkStatus(resp *http.Response) error {
	code := resp.StatusCode
	if code < http.StatusContinue || code > maxStatus || code == http.StatusSwitchingProtocols {
		return errorx.IllegalFormat.New("received a response with the invalid status %.20q", resp.Status)
	}
	length := resp.Header.Get("Content-Length")
	if isInterim(resp) && (len(resp.TransferEncoding) > 0 || length != "" && length != "0") {
		return errorx.IllegalFormat.New("received an interim response of status %d with a body", code)
	}
	return nil
}
