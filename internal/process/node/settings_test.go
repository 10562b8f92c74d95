package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/process/node"
)

// Guards against a reload that leaves a changed setting as it was, and does not say so.
func TestReloadNamesTheSettingsThatNeedARestart(t *testing.T) {
	started := node.Settings{Name: "entry-1", Domains: []string{"a", "b"}, LeaseTime: 3 * time.Second, ReportsUsage: true}
	inForce := started
	inForce.Seeds, inForce.StopTime, inForce.RevokeTime = []string{"10.0.0.1:80"}, time.Second, time.Second
	inForce.RetryAllowance, inForce.MemoryBytes = 7, 1<<28
	assert.Empty(t, inForce.RestartNeeded(started), "settings that are put in force at once")
	changed := started
	changed.Domains, changed.LeaseTime, changed.UsageWindow = []string{"a"}, time.Second, time.Second
	changed.ReportsUsage, changed.StoreAddress = false, "10.0.0.2:80"
	assert.Equal(t, []string{"Domains", "StoreAddress", "LeaseTime", "UsageWindow", "ReportsUsage"}, changed.RestartNeeded(started))
}
