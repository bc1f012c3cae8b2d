package planner

// maxEvents bounds the events of one kind that wait to be taken.
const maxEvents = 1000

// eventLog keeps events until they are taken. Further ones are dropped once it is full.
type eventLog[T any] struct {
	events []T
}

func (l *eventLog[T]) add(e T) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, e)
	}
}

// take returns the events since its last call.
func (l *eventLog[T]) take() []T {
	events := l.events
	l.events = nil
	return events
}
