package rollout

// OrderChange is one change of the orders in the store.
type OrderChange struct {
	Order Order // where it is gone, only its service is sure to be there
	Gone  bool
}

// RecordChange is one change of the records in the store.
type RecordChange struct {
	Record Record // where it is gone, only its service is sure to be there
	Gone   bool
}
