// Package delay puts a lab's distances on connections: a one-way delay between
// halls, and cuts between them, one way or both. Halls are told apart by the
// third part of a loopback IP number, as package lab gives them out.
//
//	d := delay.NewDialer(0, 1500*time.Microsecond, cuts)
//	r := router.New(settings, logger, router.WithDial(d.DialContext))
package delay
