package platform

// ObjectsReply is the body of a list or watch reply.
type ObjectsReply struct {
	Objects []Object `json:"objects"`
	// Revision is the revision from which the next watch continues.
	Revision uint64 `json:"revision"`
}

// MembersReply is the body of a reply with the membership list.
type MembersReply struct {
	// Members is the whole list, or null if it did not change.
	Members  []Member `json:"members"`
	Revision uint64   `json:"revision"`
}
