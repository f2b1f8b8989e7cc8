package distribution

// Cause is the reason for a control message; sent bytes are counted by it.
type Cause uint8

// Causes of control messages.
const (
	CausePush Cause = iota
	CauseHeal
	CauseDigest
	CauseMembership
	CauseCensus
)

// OutboundMessage is a message to one neighbour.
type OutboundMessage struct {
	To    string
	Msg   *Message
	Cause Cause
}

// Actions is the output of an Engine method, to be executed by its caller.
type Actions struct {
	Messages []OutboundMessage
	// Advanced lists the documents of which a newer version came into force.
	Advanced []Doc
	// MembersChanged reports that the overlay must be recomputed.
	MembersChanged bool
	// Flush requests a call of Engine.Flush after a short delay.
	Flush bool
	// StatusResults holds the results of finished queries that were started at this node.
	StatusResults []StatusResult
	// Errors are errors of received messages and documents, for a counter and the log.
	Errors []error
}

func (actions *Actions) addMessage(to string, c Cause, m *Message) {
	actions.Messages = append(actions.Messages, OutboundMessage{To: to, Msg: m, Cause: c})
}

func (actions *Actions) addError(err error) {
	if err != nil {
		actions.Errors = append(actions.Errors, err)
	}
}
