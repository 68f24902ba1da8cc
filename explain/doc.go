// Package explain tells a request's story from the logs of many hosts: what
// each router decided about it, in order, and what that router took to be true
// at the moment, with its age.
//
//	story, err := explain.Read("9c41d07be2a35f68", files...)
//	err = story.Write(os.Stdout)
package explain
