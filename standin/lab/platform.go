package lab

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/operate"
	"github.com/croftvale/croftvale/settings"
)

// ListHosts brings the platform's list of hosts up to date.
func (l *Lab) ListHosts() {
	var hosts []objectapi.Host
	for _, p := range l.Routers() {
		state := objectapi.HostLive
		if !p.Running() {
			continue
		}
		conf, err := settings.LoadRouter(p.argv[3])
		if err != nil {
			continue
		}
		hosts = append(hosts, objectapi.Host{
			Name: p.Name, Role: p.Role, Hall: conf.Hall, State: state,
			ControlAddress: l.address(p.IP, portLinks),
		})
	}
	l.Platform.SetHosts(hosts)
}

// Roll signs a bundle and puts it in force. The lab's servers are added to it
// where it names none.
func (l *Lab) Roll(ctx context.Context, b bundle.Bundle) (bundle.Order, error) {
	if len(b.Servers) == 0 {
		b.Servers = l.servers
	}
	s := operate.NewSignedBundle(b)
	s.Signoffs = append(s.Signoffs, bundle.SignOff(operator, l.key, s.Digest))
	r := operate.Roller{
		Store: objectapi.NewClient(l.platAddr), Operator: operator, Key: l.key,
		RollID: rand.Text(), Now: time.Now(),
	}
	return r.Roll(ctx, s)
}
