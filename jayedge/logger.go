package jayedge

// discardLogger discards the log messages of the engine. They report connections
// reset by callers, which is not a fault of the entry, and use another format.
type discardLogger struct{}

// Debugf discards a message.
func (discardLogger) Debugf(string, ...any) {}

// Infof discards a message.
func (discardLogger) Infof(string, ...any) {}

// Warnf discards a message.
func (discardLogger) Warnf(string, ...any) {}

// Errorf discards a message.
func (discardLogger) Errorf(string, ...any) {}

// Fatalf discards a message.
func (discardLogger) Fatalf(string, ...any) {}
