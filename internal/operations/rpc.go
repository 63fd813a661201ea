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

// RPC serves the calls of other hosts.
type RPC struct{ Service *Service }

// Status implements the drpc service.
func (r RPC) Status(_ context.Context, in *pb.StatusRequest) (*pb.StatusResponse, error) {
	return r.Service.status(in), nil
}

// Store implements the drpc service. It checks residency again, because this host may
// have newer rules than the sender.
func (r RPC) Store(_ context.Context, in *pb.StoreRequest) (*pb.StoreResponse, error) {
	a := in.GetAnswer()
	if a.GetExpiresMs() > time.Now().Add(2*Retention).UnixMilli() {
		return nil, errors.New("operations: answer expires too late")
	}
	if err := r.Service.storeLocal(a); err != nil {
		return nil, err
	}
	return &pb.StoreResponse{}, nil
}

// RPCPeers implements Peers over drpc.
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

// call retries a call once unless no connection could be opened, because the other
// side may have closed a pooled connection. Both calls are idempotent.
func (p RPCPeers) call(ctx context.Context, h Host, invoke func(pb.DRPCOperationsClient) error) error {
	err := invoke(pb.NewDRPCOperationsClient(p.Dial(h.PeerAddress)))
	if err != nil && ctx.Err() == nil && !errors.Is(err, peer.ErrUnreachable) {
		err = invoke(pb.NewDRPCOperationsClient(p.Dial(h.PeerAddress)))
	}
	if err != nil {
		return fmt.Errorf("operations: call %s: %w", h.Name, err)
	}
	return nil
}
