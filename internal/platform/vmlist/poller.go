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

// StepPoll names the poll in errors.
const StepPoll = "vmlist poll"

// Settings describe a poller.
type Settings struct {
	// URL is where the list is read.
	URL string
	// Interval is the time between polls.
	Interval time.Duration
	// Failed takes the error of a poll that brought no list; the poller goes on.
	Failed func(error)
}

// Poller is a source of VM lists for a control pipeline.
type Poller struct {
	settings Settings
	client   *client.Client
}

const (
	// dialTimeout and pollTimeout are long enough for a busy platform and short
	// enough that a lost answer delays the list by one or two polls only.
	dialTimeout = time.Second
	pollTimeout = 5 * time.Second
	// maxListBytes allows for 16 times the list at 2,420 VMs.
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

// Run polls until ctx ends and sends each list that differs from the one before.
func (poller *Poller) Run(ctx context.Context, out chan<- List) error {
	defer poller.client.CloseIdleConnections()
	tag := ""
	for {
		timer := time.NewTimer(poller.settings.Interval)
		list, next, err := poller.poll(ctx, tag)
		switch {
		case err != nil:
			poller.settings.Failed(err)
		case next == "" || next != tag:
			select {
			case out <- list:
			case <-ctx.Done():
			}
		}
		if err == nil {
			tag = next
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// poll returns the list and its entity tag, or an empty list and the known tag when nothing changed.
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
	switch response.StatusCode() {
	case consts.StatusNotModified:
		return List{}, tag, nil
	case consts.StatusOK:
		list, err := Decode(response.Body())
		return list, response.Header.Get(headerETag), fault.Wrap(err, StepPoll, poller.settings.URL)
	}
	return List{}, "", fault.New(StepPoll, poller.settings.URL, "status %d", response.StatusCode())
}

// limitBody bounds the answers, for which the client has no option of its own.
func limitBody(host any) error {
	hostClient, ok := host.(*http1.HostClient)
	if !ok {
		return fmt.Errorf("unexpected host client %T", host)
	}
	hostClient.MaxResponseBodySize = maxListBytes
	return nil
}
