package explain

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
)

const (
	stepExplain = "explain"
	// clientTimeout bounds the time from connecting to the end of the reply.
	clientTimeout = 5 * time.Second
	// maxReplyBytes bounds a reply, which has about 250 bytes for each server.
	maxReplyBytes = 16 << 20
)

// Ask asks the entry at an address, IP:port.
func Ask(ctx context.Context, address string, query Query) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := json.Marshal(query)
	if err != nil {
		return Reply{}, fault.Wrap(err, stepExplain, address)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, fault.Wrap(err, stepExplain, address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Reply{}, fault.Wrap(err, stepExplain, address)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, fault.Wrap(err, stepExplain, address)
	}
	if response.StatusCode != http.StatusOK {
		return Reply{}, fault.Wrap(errors.New(strings.TrimSpace(string(content))), stepExplain, fmt.Sprintf("%s: status %d", address, response.StatusCode))
	}
	var reply Reply
	return reply, fault.Wrap(json.Unmarshal(content, &reply), stepExplain, address)
}
