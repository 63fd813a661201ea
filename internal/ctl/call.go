package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"geraniumturn.example/geraniumturn/client"
)

// call sends one request with the client library and copies the response to out.
func (f *flags) call(ctx context.Context, out io.Writer) error {
	timeout, err := f.timeout()
	if err != nil {
		return err
	}
	response, err := client.New(f.callerKey, f.hostList()...).Do(ctx, client.Request{
		Method: f.method, Path: f.path, Body: []byte(f.body), IdempotencyKey: f.idempotencyKey,
		Header: http.Header{"Content-Type": {"application/json"}}, Timeout: timeout,
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(out, response.Body); err != nil {
		return fmt.Errorf("the response was cut off: %w", err)
	}
	if response.StatusCode >= 400 {
		return fmt.Errorf("the target responded with status %d", response.StatusCode)
	}
	return nil
}
