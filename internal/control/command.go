package control

import (
	"encoding/binary"
	"fmt"
)

// encodeCommand prefixes the command with the length and the name of its machine.
func encodeCommand(machine string, command []byte) []byte {
	out := make([]byte, 0, 2+len(machine)+len(command))
	out = binary.LittleEndian.AppendUint16(out, uint16(len(machine)))
	out = append(out, machine...)
	return append(out, command...)
}

func decodeCommand(data []byte) (machine string, command []byte, err error) {
	if len(data) < 2 || len(data) < 2+int(binary.LittleEndian.Uint16(data)) {
		return "", nil, fmt.Errorf("control: command of %d bytes has no machine name", len(data))
	}
	n := 2 + int(binary.LittleEndian.Uint16(data))
	return string(data[2:n]), data[n:], nil
}
