package kernel

// SharedState keeps small pieces of state of each instance in the platform's metadata
// store, where all instances read them. Unlike digests they outlive the instance.
type SharedState interface {
	// PublishState replaces this instance's state of a kind. It does not wait for the
	// store.
	PublishState(kind string, state []byte)
	// OnState registers the function that receives the states of a kind of all
	// instances: of this one, if it was published before the process was started. It
	// must be called during provisioning only.
	OnState(kind string, f func(instance string, state []byte))
}
