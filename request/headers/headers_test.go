package headers

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEndToEndRemovesHopByHopFields(t *testing.T) {
	from := http.Header{
		"Connection": {"keep-alive, X-Mine"}, "Keep-Alive": {"5"}, "X-Mine": {"1"},
		"Content-Length": {"3"}, "Upgrade": {"websocket"}, "X-Theirs": {"1", "2"},
	}
	require.Equal(t, http.Header{"X-Theirs": {"1", "2"}}, EndToEnd(from))
	require.Len(t, from, 6, "the original header must not be modified")
	require.True(t, IsHopByHop("Proxy-Connection"))
	require.False(t, IsHopByHop("Host"))
}

func TestRequestSizeCountsRequestLineAndHeaders(t *testing.T) {
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /abc HTTP/1.1\r\nHost: h\r\nX-Long: 0123456789\r\n\r\n")))
	require.NoError(t, err)
	// The terms are the lengths of GET, /abc, h, X-Long and its value.
	require.EqualValues(t, 3+4+1+6+10, RequestSize(request))
}
