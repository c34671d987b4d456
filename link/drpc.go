package link

import (
	"errors"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// frameRPC is the name of the remote procedure that receives one frame.
const frameRPC = "/bambooknot.Frame"

// maxMessageSize limits one drpc message, in bytes. It has to hold the largest frame, wire.MaxFrame; drpc does not count
// its own overhead.
const maxMessageSize = 4 << 20

var errMessageType = errors.New("message is not a *rawMessage")

// rawMessage is a drpc message that is already encoded.
type rawMessage []byte

// rawEncoding is a drpc.Encoding that copies bytes unchanged, because package wire encodes the frames.
type rawEncoding struct{}

// Marshal implements drpc.Encoding.
func (rawEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	m, ok := msg.(*rawMessage)
	if !ok {
		return nil, errMessageType
	}
	return *m, nil
}

// Unmarshal implements drpc.Encoding.
func (rawEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	m, ok := msg.(*rawMessage)
	if !ok {
		return errMessageType
	}
	*m = append((*m)[:0], buf...)
	return nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
		SoftCancel: true,
	}
}

func newServer(handler drpc.Handler) *drpcserver.Server {
	return drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
}

func newConn(transport drpc.Transport) *drpcconn.Conn {
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})
}
