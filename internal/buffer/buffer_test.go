package buffer

import (
	"bytes"
	"errors"
	"testing"
)

func TestChain(t *testing.T) {
	pool := NewPool(3 * Size)
	text := bytes.Repeat([]byte("0123456789"), Size/4) // two and a half buffers
	c := pool.Chain()
	for i := 0; i < len(text); i += 7 {
		c.Write(text[i:min(i+7, len(text))])
	}
	if c.Len() != len(text) || !bytes.Equal(c.Bytes(), text) || pool.Out() != 3*Size || !pool.Full() {
		t.Fatal(c.Len(), pool.Out())
	}
	for _, cut := range [][2]int{{0, 0}, {0, Size}, {1, Size + 1}, {Size - 1, len(text)}, {2 * Size, len(text)}} {
		d := pool.Chain()
		d.Write([]byte("x"))
		d.Append(c, cut[0], cut[1])
		if want := append([]byte("x"), text[cut[0]:cut[1]]...); !bytes.Equal(d.Bytes(), want) {
			t.Errorf("%v: %d bytes", cut, d.Len())
		}
		d.Free()
	}
	var parts int
	stop := errors.New("stop")
	if err := c.Each(func(b []byte) error {
		if parts++; parts == 2 {
			return stop
		}
		return nil
	}); err != stop || parts != 2 {
		t.Error(err, parts)
	}
	c.Free()
	c.Free()
	(*Chain)(nil).Free()
	if pool.Out() != 0 || pool.Full() || c.Bytes() != nil {
		t.Error(pool.Out())
	}
}
