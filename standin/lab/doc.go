// Package lab runs a whole fleet on one machine: routers and agents as separate
// processes, and the stand-ins for everything around them in the process that
// uses the package. Each process has a loopback IP number of its own.
//
//	l, err := lab.New(lab.Config{Dir: dir, Bin: bin})
//	defer l.Close()
//	l.AddServer(lab.Server{Name: "engine-1", Hall: "a", Slots: 8, Handler: e})
//	l.AddRouter("router-1", "a")
//	err = l.Roll(ctx, b)
package lab
