// Command bed plays the cases of the third review: it starts the programs entry and agent
// as processes on loopback, stands in for the platform's store, its runners and the
// clients, disturbs the programs from outside, and checks one rule by what the stand-ins
// have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not be played.
package main
