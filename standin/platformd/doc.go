// Package platformd stands in for the platform's object API: versions,
// conditional updates, watches, the list of hosts, rate limits, outages, and
// writes that take effect although their reply is lost.
//
//	p := platformd.New()
//	go http.Serve(listener, p)
//	p.SetOutage(true)
package platformd
