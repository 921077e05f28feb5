package backend

// Run states whether a backend server executed a request.
type Run string

// The values of Run.
const (
	// RunNever guarantees that the request was not executed and will not be.
	RunNever Run = "not_run"
	// RunDone means that the request was executed.
	RunDone Run = "done"
	// RunUnknown means that the request may have been executed or may still be.
	RunUnknown Run = "unknown"
)
