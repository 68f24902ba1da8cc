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
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	// pullPatience is how long the source may bring a change by itself before
	// it is pulled from a peer.
	pullPatience = 100 * time.Millisecond
	pullTimeout  = 500 * time.Millisecond
	// hallPatience is how long a router leaves it to the first of its hall to pull what
	// only other halls know: a pull from another hall and two heartbeats. Bytes between
	// halls are priced.
	hallPatience = 200 * time.Millisecond
	// pullDial bounds opening a connection: a host without power says nothing, and
	// between regions a connection takes some 40 ms.
	pullDial = 100 * time.Millisecond
	pullMost = 32 << 20
)

// PullOptions are what a Puller is started with.
type PullOptions struct {
	Address string   // of this host, without a port
	Control string   // address of pulls; the port is the same on all hosts
	Seeds   []string // control addresses of some routers
	Peers   Peers
	Traffic *traffic.Counter
}

// Puller brings newer content from other routers.
type Puller struct {
	o      PullOptions
	client *http.Client
	port   string
	set    *Set
	meters []*traffic.Meter // by feed
	// failing says that the last pull from a seed failed.
	failing bool
}

// NewPuller returns what brings newer content to a set.
func NewPuller(set *Set, o PullOptions) (*Puller, error) {
	_, port, err := net.SplitHostPort(o.Control)
	if err != nil {
		return nil, errors.Wrapf(err, "settings: the control address %q: give host:port", o.Control)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: pullDial}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     5 * time.Second,
	}
	p := &Puller{o: o, client: &http.Client{Transport: transport}, port: port, set: set}
	for _, f := range set.feeds {
		p.meters = append(p.meters, o.Traffic.Meter(f.About().trafficKind()))
	}
	return p, nil
}

// Run pulls whenever a peer is ahead, until ctx ends. Until enough is known to serve, it
// asks the seeds.
func (p *Puller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !p.set.Complete() {
			p.fromSeeds(ctx)
			if !p.set.Complete() {
				p.fromPeers(ctx) // the seeds may all be away
			}
			wait.Sleep(ctx, pullPatience)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.o.Peers.Behind():
		}
		wait.Sleep(ctx, pullPatience)
		p.fromPeers(ctx)
	}
	return nil
}

// fromPeers pulls what other routers know newer.
func (p *Puller) fromPeers(ctx context.Context) {
	ahead := p.o.Peers.Ahead()
	if p.largeElsewhere(ahead) && !p.o.Peers.FirstOfHall() {
		// Another router of the hall brings it over, and this one pulls it there.
		wait.Sleep(ctx, hallPatience)
		ahead = p.o.Peers.Ahead()
	}
	for i := range p.set.feeds {
		p.first(ctx, i, ahead[i].All())
	}
}

// largeElsewhere tells whether only other halls know the newest content of a large feed.
func (p *Puller) largeElsewhere(ahead AheadByFeed) bool {
	for i, f := range p.set.feeds {
		if f.About().Large && ahead[i].Elsewhere() {
			return true
		}
	}
	return false
}

// first asks routers in turn for a feed until one has answered.
func (p *Puller) first(ctx context.Context, feed int, addresses []string) {
	for _, address := range addresses {
		if p.pull(ctx, feed, net.JoinHostPort(address, p.port)) == nil {
			return
		}
	}
}

// fromSeeds asks the seeds for what is missing.
func (p *Puller) fromSeeds(ctx context.Context) {
	for _, seed := range p.seedOrder() {
		p.o.Peers.Add(hostOf(seed))
		// A seed that has just started answers for an awaited feed when it has read that;
		// by then it mostly has the others too.
		p.missing(ctx, seed, true)
		p.missing(ctx, seed, false)
		if p.set.Complete() {
			return
		}
	}
}

// seedOrder returns the seeds other than this router: the nearest first, by what has been
// heard of them so far, and of those at one distance beginning with another one at each
// router, so that they have the same to do.
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

// hostOf returns the host of an address, or nothing where it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// missing asks a seed for the feeds without content that are awaited, or are not.
func (p *Puller) missing(ctx context.Context, seed string, awaited bool) {
	for i, f := range p.set.feeds {
		if about := f.About(); about.On && about.Awaited == awaited && !f.Known() {
			p.note(p.pull(ctx, i, seed), seed)
		}
	}
}

// note logs that a seed had nothing to give, once until one has.
func (p *Puller) note(err error, seed string) {
	if err != nil && !p.failing {
		p.set.log.Event("pull_failed").Str("from", seed).Err(err).Msg("")
	}
	p.failing = err != nil
}

// pull brings the content of a feed from another router.
func (p *Puller) pull(ctx context.Context, feed int, address string) error {
	one := p.set.feeds[feed]
	about := one.About()
	target := about.path()
	if about.Partial {
		target += "?" + querySince + "=" + strconv.FormatUint(one.Revision(), 10)
	}
	body, err := p.get(ctx, p.meters[feed], address, target)
	if err != nil {
		return err
	}
	return one.Take(body, address)
}

func (p *Puller) get(ctx context.Context, meter *traffic.Meter, address, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target, nil)
	if err != nil {
		return nil, err
	}
	answer, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s%s: %s", address, target, answer.Status)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, pullMost))
	meter.Add(p.o.Peers.PathTo(hostOf(address)), len(body))
	return body, err
}
