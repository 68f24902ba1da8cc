// Package sendqueue lets a router write a response to a slow caller without waiting for the caller
// to read it. Data that the socket does not accept at once waits in a queue of the connection,
// within a memory budget that all connections share. So the backend server frees its slot as soon
// as it has sent the response, and a caller that stops reading does not block it.
//
//	queues := sendqueue.NewQueues(memory.NewBudget(16<<20), log.UnreadResponse)
//	conn := queues.Wrap(accepted, func() {})
//	_, err := conn.Write(response) // returns before the caller has read it
//	conn.Close()                   // returns at once; queued data is still sent
package sendqueue
