package vmlist

import (
	"context"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
)

// StepPoll is the step in errors of a poll.
const StepPoll = "vmlist poll"

// Settings configure a poller.
type Settings struct {
	// URL is the URL of the list.
	URL string
	// Interval is the time from the start of one poll to the start of the next.
	Interval time.Duration
	// OnError is called with the error of each failed poll, after which the poller continues.
	OnError func(error)
}

// Poller polls the VM list and is the source of a control pipeline.
type Poller struct {
	settings Settings
	client   *client.Client
}

const (
	// dialTimeout and pollTimeout allow for slow answers of a busy platform, and are short
	// enough that a lost answer delays the list by only one or two polls.
	dialTimeout = time.Second
	pollTimeout = 5 * time.Second
	// maxListBytes is 16 times the size of the list for 2,420 VMs.
	maxListBytes = 8 << 20

	headerETag        = "ETag"
	headerIfNoneMatch = "If-None-Match"
)

// New returns a poller that has not polled yet.
func New(settings Settings) (*Poller, error) {
	hertz, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithClientReadTimeout(pollTimeout),
		client.WithHostClientConfigHook(limitBody),
	)
	if err != nil {
		return nil, fault.Wrap(err, StepPoll, settings.URL)
	}
	return &Poller{settings: settings, client: hertz}, nil
}

// Run polls until ctx ends and sends each list to out, unless its entity tag shows that it is unchanged.
func (poller *Poller) Run(ctx context.Context, out chan<- List) error {
	defer poller.client.CloseIdleConnections()
	tag := ""
	for {
		timer := time.NewTimer(poller.settings.Interval)
		list, newTag, err := poller.poll(ctx, tag)
		switch {
		case err != nil:
			poller.settings.OnError(err)
		case newTag == "" || newTag != tag:
			select {
			case out <- list:
			case <-ctx.Done():
			}
		}
		if err == nil {
			tag = newTag
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// poll returns the list and its entity tag, empty for none. If the list still has the given tag, it
// returns an empty list and that tag.
func (poller *Poller) poll(ctx context.Context, tag string) (List, string, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetRequestURI(poller.settings.URL)
	if tag != "" {
		request.Header.Set(headerIfNoneMatch, tag)
	}
	if err := poller.client.DoTimeout(ctx, request, response, pollTimeout); err != nil {
		return List{}, "", fault.Wrap(err, StepPoll, poller.settings.URL)
	}
	status := response.StatusCode()
	switch {
	case status == consts.StatusNotModified && tag != "":
		return List{}, tag, nil
	case status == consts.StatusOK:
		list, err := Decode(response.Body())
		return list, response.Header.Get(headerETag), fault.Wrap(err, StepPoll, poller.settings.URL)
	}
	return List{}, "", fault.New(StepPoll, poller.settings.URL, "unexpected HTTP status %d", status)
}

// limitBody bounds the size of response bodies in the host client; the client itself has no such option.
func limitBody(host any) error {
	hostClient, ok := host.(*http1.HostClient)
	if !ok {
		return fmt.Errorf("limit of the response size: unexpected host client type %T", host)
	}
	hostClient.MaxResponseBodySize = maxListBytes
	return nil
}
