package blackboard

// ConfigurationVersion returns the platform version of the active configuration, or 0.
func (b *Board) ConfigurationVersion() uint64 {
	b.rebuildMu.Lock()
	defer b.rebuildMu.Unlock()
	return b.configurationVersion
}
