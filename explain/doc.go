// Package explain builds a request's timeline from the logs of many hosts: what
// each router decided about the request, in order, and the state on which the
// router based each decision, with its age.
//
//	timeline, err := explain.Read("9c41d07be2a35f68", files...)
//	err = timeline.Write(os.Stdout)
package explain
