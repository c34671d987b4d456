package link

import (
	"errors"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// rpcFrame names the remote procedure that takes one peer message.
const rpcFrame = "/bambooknot.Frame"

// maxMessage bounds one drpc message in bytes: the largest peer frame and its overhead.
const maxMessage = 4 << 20

var errMessageType = errors.New("message is not a byte slice")

// rawMessage is a message that is encoded already.
type rawMessage []byte

// rawEncoding passes byte slices through: the messages are mapped by hand before.
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
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		SoftCancel: true,
	}
}

func newServer(handler drpc.Handler) *drpcserver.Server {
	return drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
}

func newConn(transport drpc.Transport) *drpcconn.Conn {
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})
}
