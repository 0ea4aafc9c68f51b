package jayedge

// noLogger drops the engine's own log lines: it writes of connections that
// callers reset, which is no fault of ours, in a format of its own.
type noLogger struct{}

// Debugf drops a line.
func (noLogger) Debugf(string, ...any) {}

// Infof drops a line.
func (noLogger) Infof(string, ...any) {}

// Warnf drops a line.
func (noLogger) Warnf(string, ...any) {}

// Errorf drops a line.
func (noLogger) Errorf(string, ...any) {}

// Fatalf drops a line.
func (noLogger) Fatalf(string, ...any) {}
