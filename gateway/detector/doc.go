// Package detector is a failure detector: it decides which other routers are alive by probing them.
// It does no I/O and reads no clock; package cluster executes its commands and delivers its
// messages.
//
// In a large fleet a heartbeat reaches only some routers, so any two routers receive a heartbeat of
// one another only every few seconds. A timeout on heartbeats would grow with the number of
// routers. Instead, each router probes one router after another, directly and through others, and
// reports those that do not answer in its heartbeats: a suspicion. Any router that knows the
// suspect to have been alive since the probe refutes the suspicion, the suspect itself first;
// otherwise all routers count the suspect as dead shortly after. The number of probes and updates
// that a router sends does not grow with the fleet. This follows the SWIM protocol (Das, Gupta,
// Motivala, 2002), with the ages of observations in place of its incarnation numbers.
//
//	d := detector.New("10.1.0.33", incarnation)
//	cmds := d.Update(detector.HeartbeatMsg{Now: now, Address: "10.2.0.18", Incarnation: 7, AnswersProbes: true})
//	cmds = d.Update(detector.TickMsg{Now: now})
//	alive := d.Alive("10.2.0.18", now)
package detector
