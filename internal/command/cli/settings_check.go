package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/platform"
)

// settingsCheckCommand reports all faults of a platform's settings file, or prints the settings that an entry would use.
type settingsCheckCommand struct {
	file string
}

func (settingsCheckCommand *settingsCheckCommand) declare(subcommand *flaggy.Subcommand) {
	subcommand.AddPositionalValue(&settingsCheckCommand.file, "FILE", 1, false, "settings file of the platform")
}

func (settingsCheckCommand *settingsCheckCommand) run(_ context.Context, streams Streams) error {
	if settingsCheckCommand.file == "" {
		return usageErrorf("FILE: missing, must be the path of a settings file")
	}
	settings, err := platform.LoadSettings(settingsCheckCommand.file)
	if err != nil {
		return err
	}
	rows := tabwriter.NewWriter(streams.Output, 0, 0, 2, ' ', 0)
	for _, row := range [][2]string{
		{"Name", settings.Name},
		{"Domain", settings.Domain + " of " + strings.Join(settings.Domains, ", ")},
		{"Addresses", fmt.Sprintf("callers %s, balancer and metrics %s, peers %s", settings.FrontAddress, settings.ReadyAddress, settings.PeerAddress)},
		{"Seeds", strings.Join(settings.Seeds, ", ")},
		{"Store", settings.StoreAddress},
		{"Cloud", fmt.Sprintf("%s, reports usage: %t, orders servers: %t", settings.CloudAddress, settings.ReportsUsage, settings.OrdersCapacity)},
		{"Limits", fmt.Sprintf("%g cores, %d MB", settings.Cores, settings.MemoryBytes>>20)},
		{"Times", fmt.Sprintf("stop %v, revocation %v, lease %v, usage windows %v due after %v",
			settings.StopTime, settings.RevokeTime, settings.LeaseTime, settings.UsageWindow, settings.UsageDue)},
		{"Retries", fmt.Sprintf("%g of all entries together while a service receives few calls", settings.RetryAllowance)},
	} {
		fmt.Fprintf(rows, "%s\t%s\n", row[0], row[1])
	}
	return rows.Flush()
}
