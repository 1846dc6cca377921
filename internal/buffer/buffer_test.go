package buffer

import (
	"bytes"
	"errors"
	"testing"
)

func TestChain(t *testing.T) {
	pool := NewPool(3 * Size)
	text := bytes.Repeat([]byte("0123456789"), Size/4) // two and a half buffers
	chain := pool.Chain()
	for i := 0; i < len(text); i += 7 {
		chain.Write(text[i:min(i+7, len(text))])
	}
	if chain.Len() != len(text) || !bytes.Equal(chain.Bytes(), text) || pool.InUse() != 3*Size {
		t.Fatalf("chain of %d bytes, %d bytes in use", chain.Len(), pool.InUse())
	}
	t.Run("append", func(t *testing.T) { checkAppend(t, pool, chain, text) })
	t.Run("each", func(t *testing.T) { checkEach(t, chain) })
	chain.Free()
	chain.Free()
	(*Chain)(nil).Free()
	if pool.InUse() != 0 || chain.Bytes() != nil {
		t.Errorf("after Free: %d bytes in use", pool.InUse())
	}
}

func checkAppend(t *testing.T, pool *Pool, chain *Chain, text []byte) {
	t.Helper()
	for name, part := range map[string]struct{ start, end int }{
		"nothing":                      {0, 0},
		"the first buffer":             {0, Size},
		"as long as a buffer, shifted": {1, Size + 1},
		"from the end of a buffer":     {Size - 1, len(text)},
		"the last buffer":              {2 * Size, len(text)},
	} {
		t.Run(name, func(t *testing.T) {
			target := pool.Chain()
			target.Write([]byte("x"))
			defer target.Free()
			target.Append(chain, part.start, part.end)
			if want := append([]byte("x"), text[part.start:part.end]...); !bytes.Equal(target.Bytes(), want) {
				t.Errorf("got %d bytes, want %d", target.Len(), len(want))
			}
		})
	}
}

func checkEach(t *testing.T, chain *Chain) {
	t.Helper()
	var parts int
	errStop := errors.New("stop")
	err := chain.Each(func([]byte) error {
		if parts++; parts == 2 {
			return errStop
		}
		return nil
	})
	if !errors.Is(err, errStop) || parts != 2 {
		t.Errorf("got error %v after %d parts, want %v after 2", err, parts, errStop)
	}
}
