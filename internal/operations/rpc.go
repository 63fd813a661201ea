package operations

import (
	"context"
	"errors"
	"fmt"
	"time"

	"storj.io/drpc"

	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
	"geraniumturn.example/geraniumturn/internal/peer"
)

// RPC answers the calls of other hosts.
type RPC struct{ Service *Service }

// Status implements the drpc service.
func (r RPC) Status(_ context.Context, in *pb.StatusRequest) (*pb.StatusResponse, error) {
	return r.Service.status(in), nil
}

// Store implements the drpc service. It checks residency again, because the
// rules of the sending host may be older.
func (r RPC) Store(_ context.Context, in *pb.StoreRequest) (*pb.StoreResponse, error) {
	a := in.GetAnswer()
	if a.GetExpiresMs() > time.Now().Add(2*Retention).UnixMilli() {
		return nil, errors.New("operations: answer expires too late")
	}
	if err := r.Service.put(a); err != nil {
		return nil, err
	}
	return &pb.StoreResponse{}, nil
}

// RPCPeers reaches other hosts over drpc.
type RPCPeers struct {
	List func() []Host
	Dial func(address string) drpc.Conn
}

// Hosts implements Peers.
func (p RPCPeers) Hosts() []Host { return p.List() }

// Status implements Peers.
func (p RPCPeers) Status(ctx context.Context, h Host, in *pb.StatusRequest) (out *pb.StatusResponse, err error) {
	err = p.call(ctx, h, func(client pb.DRPCOperationsClient) (err error) {
		out, err = client.Status(ctx, in)
		return err
	})
	return out, err
}

// Store implements Peers.
func (p RPCPeers) Store(ctx context.Context, h Host, a *pb.Answer) error {
	return p.call(ctx, h, func(client pb.DRPCOperationsClient) error {
		_, err := client.Store(ctx, &pb.StoreRequest{Answer: a})
		return err
	})
}

// call repeats a call that failed once on a connection: both calls may be
// repeated, and a pooled connection may have been closed by the other side.
func (p RPCPeers) call(ctx context.Context, h Host, do func(pb.DRPCOperationsClient) error) error {
	err := do(pb.NewDRPCOperationsClient(p.Dial(h.Peer)))
	if err != nil && ctx.Err() == nil && !errors.Is(err, peer.ErrUnreachable) {
		err = do(pb.NewDRPCOperationsClient(p.Dial(h.Peer)))
	}
	if err != nil {
		return fmt.Errorf("operations: call %s: %w", h.Name, err)
	}
	return nil
}
