package gateway

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
)

// prober checks whether servers can be reached.
type prober struct {
	core *core
	pool *backend.Pool
}

// probe starts one probe and returns at once.
func (p *prober) probe(cmd direct.ProbeCmd) {
	go func() {
		conn, err := p.pool.Dial(context.Background(), cmd.Server.Address)
		if err == nil {
			conn.Close()
		}
		p.core.Update(direct.ProbeResultMsg{
			Now: p.core.Now(), Server: cmd.Server.ID, Reached: err == nil, ConnRefused: errors.Is(err, syscall.ECONNREFUSED),
			RouterLate: errors.Is(err, backend.ErrRouterLate) || p.core.pressure.Slow(),
		})
	}()
}
