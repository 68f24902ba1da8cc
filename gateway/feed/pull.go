package feed

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/internal/msgpackcheck"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// pullDelay gives the source time to deliver a change before it is pulled from
	// a peer.
	pullDelay   = 100 * time.Millisecond
	pullTimeout = 500 * time.Millisecond
	// hallPullDelay is how long a router waits for the first router of its hall to pull
	// content that only other halls have. It covers one pull from another hall and two
	// heartbeats. Traffic between halls is billed.
	hallPullDelay = 200 * time.Millisecond
	// pullDialTimeout bounds connection setup, because a host without power does not respond.
	// A connection between regions takes about 40 ms.
	pullDialTimeout = 100 * time.Millisecond
	// maxPullBytes bounds the body of one pull, and maxPullHeaderBytes its headers.
	maxPullBytes       = 16 << 20
	maxPullHeaderBytes = 64 << 10
)

// PullOptions configures a Puller.
type PullOptions struct {
	Address        string   // address of this host, without a port
	ControlAddress string   // control address (host:port) that serves pulls; all hosts use the same port
	Seeds          []string // control addresses of some routers
	Peers          Peers
	Traffic        *traffic.Counter
}

// Puller pulls newer content from other routers.
type Puller struct {
	o      PullOptions
	client *http.Client
	port   string
	set    *Set
	meters []*traffic.Meter // one per feed, in the order of the set
	// seedFailing is set if the last pull from a seed failed.
	seedFailing bool
}

// NewPuller returns a Puller that pulls newer content into a set.
func NewPuller(set *Set, o PullOptions) (*Puller, error) {
	_, port, err := net.SplitHostPort(o.ControlAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "settings: the control address %q: give host:port", o.ControlAddress)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: pullDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     5 * time.Second,

		MaxResponseHeaderBytes: maxPullHeaderBytes,
	}
	p := &Puller{o: o, client: &http.Client{Transport: transport}, port: port, set: set}
	for _, f := range set.feeds {
		p.meters = append(p.meters, o.Traffic.Meter(f.Spec().trafficKind()))
	}
	return p, nil
}

// Run pulls whenever a peer has newer content, until ctx ends. While the set lacks content that
// is needed to serve requests, it pulls from the seeds.
func (p *Puller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !p.set.Complete() {
			p.pullFromSeeds(ctx)
			if !p.set.Complete() {
				p.pullFromPeers(ctx) // all seeds may be down
			}
			wait.Sleep(ctx, pullDelay)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.o.Peers.Behind():
		}
		wait.Sleep(ctx, pullDelay)
		p.pullFromPeers(ctx)
	}
	return nil
}

// pullFromPeers pulls newer content from other routers.
func (p *Puller) pullFromPeers(ctx context.Context) {
	ahead := p.o.Peers.Ahead()
	if p.largeOnlyInOtherHalls(ahead) && !p.o.Peers.FirstOfHall() {
		// The first router of the hall pulls the content, and this one pulls it from there.
		wait.Sleep(ctx, hallPullDelay)
		ahead = p.o.Peers.Ahead()
	}
	for i := range p.set.feeds {
		p.pullFromFirst(ctx, i, ahead[i].All())
	}
}

// largeOnlyInOtherHalls reports whether only other halls have newer content of a large feed.
func (p *Puller) largeOnlyInOtherHalls(ahead PeersAheadByFeed) bool {
	for i, f := range p.set.feeds {
		if f.Spec().Large && ahead[i].OnlyInOtherHalls() {
			return true
		}
	}
	return false
}

// pullFromFirst pulls a feed from the first of several routers that responds.
func (p *Puller) pullFromFirst(ctx context.Context, feedIndex int, addresses []string) {
	for _, address := range addresses {
		if p.pull(ctx, feedIndex, net.JoinHostPort(address, p.port)) == nil {
			return
		}
	}
}

// pullFromSeeds pulls missing content from the seeds.
func (p *Puller) pullFromSeeds(ctx context.Context) {
	for _, seed := range p.seedOrder() {
		p.o.Peers.Add(hostOf(seed))
		// A seed that has just started responds to the pull of a blocking feed once it has
		// read that feed. By then it usually has the other feeds too.
		p.pullMissing(ctx, seed, true)
		p.pullMissing(ctx, seed, false)
		if p.set.Complete() {
			return
		}
	}
}

// seedOrder returns the seeds other than this router, the nearest first as far as their
// distance is known. Among seeds at the same distance, each router begins with a different
// one to spread the load.
func (p *Puller) seedOrder() []string {
	var order []string
	first := xxhash.Sum64String(p.o.Address)
	for i := range p.o.Seeds {
		seed := p.o.Seeds[(first+uint64(i))%uint64(len(p.o.Seeds))]
		if host := hostOf(seed); host != "" && host != p.o.Address {
			order = append(order, seed)
		}
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(p.o.Peers.PathTo(hostOf(a)), p.o.Peers.PathTo(hostOf(b)))
	})
	return order
}

// decodePulled decodes the content of a feed that another router has sent.
func decodePulled(body []byte, content any) error {
	if err := msgpackcheck.Check(body, 1); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, content)
}

// hostOf returns the host of an address, or an empty string if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// pullMissing pulls from a seed the enabled feeds that have no content. It pulls only blocking
// or only non-blocking feeds.
func (p *Puller) pullMissing(ctx context.Context, seed string, blocking bool) {
	for i, f := range p.set.feeds {
		if spec := f.Spec(); spec.Enabled && spec.Blocking == blocking && !f.HasContent() {
			p.logSeedResult(p.pull(ctx, i, seed), seed)
		}
	}
}

// logSeedResult logs the first of several consecutive failures to pull from a seed.
func (p *Puller) logSeedResult(err error, seed string) {
	if err != nil && !p.seedFailing {
		p.set.log.Event("pull_failed").Str("from", seed).Err(err).Msg("")
	}
	p.seedFailing = err != nil
}

// pull pulls the content of a feed from another router and applies it.
func (p *Puller) pull(ctx context.Context, feedIndex int, address string) error {
	f := p.set.feeds[feedIndex]
	spec := f.Spec()
	target := spec.path()
	if spec.Incremental {
		target += "?" + sinceParam + "=" + strconv.FormatUint(f.Revision(), 10)
	}
	body, err := p.get(ctx, p.meters[feedIndex], address, target)
	if err != nil {
		return err
	}
	return f.ApplyPulled(body, address)
}

// get returns the body of a response and counts it as traffic.
func (p *Puller) get(ctx context.Context, meter *traffic.Meter, address, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s%s: %s", address, target, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPullBytes+1))
	meter.Add(p.o.Peers.PathTo(hostOf(address)), len(body))
	if len(body) > maxPullBytes {
		return nil, errors.Newf("%s%s: the content exceeds %d bytes", address, target, maxPullBytes)
	}
	return body, err
}
