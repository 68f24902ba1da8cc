package gateway

import (
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// pathTo classifies the traffic to the server of cmd: within this router's data hall, to
// another hall of its region, or to another region.
func (f *front) pathTo(cmd direct.SendCmd) traffic.Path {
	switch {
	case cmd.Server.Zone == f.hall:
		return traffic.WithinHall
	case cmd.CrossRegion:
		return traffic.BetweenRegions
	}
	return traffic.BetweenHalls
}
