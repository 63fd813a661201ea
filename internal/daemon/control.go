package daemon

import (
	"context"
	"net/http"
	"path/filepath"

	"github.com/labstack/echo/v4"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/operations"
	"geraniumturn.example/geraniumturn/internal/quota"
	"geraniumturn.example/geraniumturn/internal/settings"
)

const controlFolder = "control"

func (d *Daemon) controlConfig() control.Config {
	c := control.Config{Host: d.settings.Name, Dial: d.transport.Dial, Logger: d.log, Metrics: d.metrics}
	for _, name := range d.settings.Control.Voters {
		voter, _ := d.settings.Host(name)
		c.Voters = append(c.Voters, control.Voter{Host: name, Address: voter.Peer})
	}
	return c
}

func (d *Daemon) buildControl() error {
	config := d.controlConfig()
	if !d.settings.HasRole(settings.RoleControl) {
		d.controlLog = control.NewRemote(config)
		return nil
	}
	config.Dir = filepath.Join(d.settings.DataDir, controlFolder)
	node, err := control.NewNode(config)
	if err != nil {
		return err
	}
	d.fleetMachine = fleet.NewMachine()
	node.Register(fleet.MachineName, d.fleetMachine)
	d.quotaMachine = quota.NewMachine()
	node.Register(quota.MachineName, d.quotaMachine)
	node.Register(operations.MachineName, operations.NewMachine())
	d.controlNode, d.controlLog = node, node
	return d.transport.Register(node.Service(), controlpb.DRPCControlDescription{})
}

// controlLoop runs the control node on a voter. A disk failure of the node ends the
// process.
func (d *Daemon) controlLoop(ctx context.Context) error {
	if d.controlNode == nil {
		<-ctx.Done()
		return nil
	}
	return d.controlNode.Run(ctx)
}

func (d *Daemon) registerControl(admin *echo.Group) {
	admin.GET("/control", d.showControl)
	admin.POST("/control/init", d.initControl)
}

func (d *Daemon) showControl(c echo.Context) error {
	if d.controlNode == nil {
		return c.JSON(http.StatusOK, control.Report{Host: d.settings.Name, Role: "none", Members: []control.Member{}})
	}
	return c.JSON(http.StatusOK, d.controlNode.Report())
}

func (d *Daemon) initControl(c echo.Context) error {
	members, err := control.Initialise(c.Request().Context(), d.controlConfig())
	if err != nil {
		return echo.NewHTTPError(http.StatusPreconditionFailed, err.Error())
	}
	d.log.WithField("members", len(members)).Info("control log initialised")
	return c.JSON(http.StatusOK, members)
}
