// Package engine stands in for a model engine with an OpenAI-style API: it
// batches up to a number of requests, gives one token a step to each, serves
// higher priorities first, remembers prompt prefixes, and can be told to be
// slow, to hang or to cut its streams.
//
//	e := engine.New(engine.Config{Slots: 8, Step: 5 * time.Millisecond}, recorder)
//	go http.Serve(listener, e)
//	e.SetFault(engine.FaultCut)
package engine
