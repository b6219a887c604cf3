package cli

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/standin"
)

const standinHeaderTimeout = 10 * time.Second

// exitCrashed is the exit code of an engine that a request crashed.
const exitCrashed = 70

// NewStandin returns the command of the stand-ins.
func NewStandin() *cobra.Command {
	root := &cobra.Command{
		Use:           "peridotmount-standin",
		Short:         "Play the platform's services and the endpoints, for tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newStandinStore(), newStandinEngine(), newStandinPlain())
	root.AddCommand(newStandinCertificates(), newStandinDemo(), newStandinPorts(), newStandinReady(), newStandinRegister(), newStandinUnlist())
	return root
}

func newStandinStore() *cobra.Command {
	var f standin.StoreFaults
	var keep time.Duration
	cmd := standinCommand("store", "Play the platform's metadata store", func(*cobra.Command) http.Handler {
		f.KeepMillis = keep.Milliseconds()
		return standin.NewStore(f).Handler()
	})
	cmd.Flags().IntVar(&f.KeepRecords, "keep-records", 0, "records that a partition keeps; 0 means all")
	cmd.Flags().DurationVar(&keep, "keep", 0, "time that a partition keeps a record; 0 means for good")
	cmd.Flags().Float64Var(&f.AppendsPerSecond, "appends-per-second", 0, "appends taken a second; 0 means no bound")
	return cmd
}

func newStandinEngine() *cobra.Command {
	var o standin.EngineOptions
	cmd := standinCommand("engine", "Play a model engine", func(*cobra.Command) http.Handler {
		return standin.NewEngine(o, func() { os.Exit(exitCrashed) }).Handler()
	})
	cmd.Flags().IntVar(&o.Slots, "slots", 16, "streams generated at once")
	cmd.Flags().DurationVar(&o.StepBase, "step", 5*time.Millisecond, "time of a generation step for one stream")
	cmd.Flags().DurationVar(&o.StepPerStream, "step-per-stream", 200*time.Microsecond, "time added for each further stream")
	cmd.Flags().DurationVar(&o.PrefillPerToken, "prefill", 20*time.Microsecond, "time per prompt token")
	cmd.Flags().IntVar(&o.CacheBlocks, "cache-blocks", 512, "prompt prefix blocks of 16 tokens kept")
	cmd.Flags().Int64Var(&o.EventLag, "event-lag", 20, "cache events that readers lag behind")
	cmd.Flags().DurationVar(&o.ReportLag, "report-lag", time.Second, "age that load reports reach")
	cmd.Flags().BoolVar(&o.RequireLoad, "require-load", false, "refuse artifacts that were not loaded")
	cmd.Flags().BoolVar(&o.CheckFencing, "check-fencing", true, "refuse orders with an old fencing number")
	cmd.Flags().StringVar(&o.CrashMark, "crash-mark", "", "text in a prompt that crashes the engine")
	return cmd
}

func newStandinPlain() *cobra.Command {
	var name string
	cmd := standinCommand("plain", "Play an endpoint of a plain service", func(*cobra.Command) http.Handler {
		return standin.NewPlain(name).Handler()
	})
	cmd.Flags().StringVar(&name, "name", "plain", "name of the endpoint")
	return cmd
}

func standinCommand(use, short string, handler func(*cobra.Command) http.Handler) *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd.Context(), address, handler(cmd))
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	return cmd
}

func serveStandin(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	err = s.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve")
}
