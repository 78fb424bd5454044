package session

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/manifest"
)

var (
	keyA        = Key{ID: "a", Secret: []byte(strings.Repeat("A", MinSecretBytes))}
	keyB        = Key{ID: "b", Secret: []byte(strings.Repeat("B", MinSecretBytes))}
	testTime    = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	testBinding = Binding{Account: "acme", SessionID: "s-1", Model: "small", Version: "v1", Epoch: 7, IssuedAt: testTime}
)

// testClock is a clock that the test sets.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func TestVerify(t *testing.T) {
	longest := strings.Repeat("x", maxFieldBytes)
	big := Binding{Account: longest, SessionID: longest, Model: longest, Version: longest, Epoch: math.MaxUint64, IssuedAt: testTime}
	mint := func(b Binding, keys ...Key) string { return NewCodec(keys, time.Hour, nil).Mint(b) }
	good := mint(testBinding, keyA)
	cases := []struct {
		desc    string
		token   string
		account string
		after   time.Duration
		want    error
	}{
		{desc: "genuine", token: good, account: "acme"},
		{desc: "signed by the second key", token: mint(testBinding, keyB), account: "acme"},
		{desc: "longest fields", token: mint(big, keyA), account: longest},
		{desc: "at the end of its TTL", token: good, account: "acme", after: time.Hour},
		{desc: "issuer's clock ahead", token: good, account: "acme", after: -time.Minute},
		{desc: "expired", token: good, account: "acme", after: time.Hour + 1, want: ErrExpired},
		{desc: "issued too far in the future", token: good, account: "acme", after: -2 * time.Hour, want: ErrExpired},
		{desc: "another account", token: good, account: "other", want: ErrOtherAccount},
		{desc: "unknown key", token: mint(testBinding, Key{ID: "c", Secret: keyA.Secret}), account: "acme", want: ErrUnknownKey},
		{desc: "known key ID, other secret", token: mint(testBinding, Key{ID: "a", Secret: keyB.Secret}), account: "acme", want: ErrMalformed},
		{desc: "empty", token: "", account: "acme", want: ErrMalformed},
		{desc: "truncated token", token: good[:len(good)-4], account: "acme", want: ErrMalformed},
		{desc: "extended", token: good + "AAAA", account: "acme", want: ErrMalformed},
		{desc: "padded", token: good + "==", account: "acme", want: ErrMalformed},
		{desc: "over the size limit", token: strings.Repeat("A", maxTokenChars+1), account: "acme", want: ErrMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			clock := &testClock{now: testTime.Add(tc.after)}
			codec := NewCodec([]Key{keyA, keyB}, time.Hour, clock.Now)
			b, err := codec.Verify(tc.token, tc.account)
			is.True(errors.Is(err, tc.want)) // the expected error
			is.True(len(tc.token) <= maxTokenChars || tc.want != nil)
			if tc.want != nil {
				is.Equal(b, Binding{}) // no field of a rejected token is returned
			}
		})
	}
}

func TestVerifyRejectsEachFlippedBit(t *testing.T) {
	is := is.New(t)
	clock := &testClock{now: testTime}
	codec := NewCodec([]Key{keyA}, time.Hour, clock.Now)
	raw, err := tokenEncoding.DecodeString(codec.Mint(testBinding))
	is.NoErr(err)
	for i := range len(raw) * 8 {
		changed := append([]byte(nil), raw...)
		changed[i/8] ^= 1 << (i % 8)
		_, err := codec.Verify(tokenEncoding.EncodeToString(changed), testBinding.Account)
		is.True(err != nil) // a flipped bit is rejected
	}
}

func TestRotate(t *testing.T) {
	is := is.New(t)
	clock := &testClock{now: testTime}
	codec := NewCodec([]Key{keyA}, time.Hour, clock.Now)
	old := codec.Mint(testBinding)
	is.NoErr(codec.Rotate([]Key{keyB, keyA}))
	got, err := codec.Verify(old, testBinding.Account)
	is.NoErr(err)
	is.Equal(got, testBinding)
	is.True(codec.Mint(testBinding) != old) // the new key signs
	is.True(codec.Rotate(nil) != nil)
	_, err = codec.Verify(old, testBinding.Account)
	is.NoErr(err) // after invalid keys, the old ones stay in use
	is.NoErr(codec.Rotate([]Key{keyB}))
	_, err = codec.Verify(old, testBinding.Account)
	is.True(errors.Is(err, ErrUnknownKey))
}

func TestParseKeys(t *testing.T) {
	secret := strings.Repeat("5e", MinSecretBytes)
	cases := []struct {
		desc, text string
		want       int
	}{
		{desc: "one", text: "k1:" + secret, want: 1},
		{desc: "two with a space", text: "k1:" + secret + ", k2:" + secret, want: 2},
		{desc: "empty", text: ""},
		{desc: "no id", text: ":" + secret},
		{desc: "long id", text: strings.Repeat("k", maxKeyIDBytes+1) + ":" + secret},
		{desc: "no colon", text: secret},
		{desc: "not hexadecimal", text: "k1:" + secret + "zz"},
		{desc: "short", text: "k1:" + secret[2:]},
		{desc: "id twice", text: "k1:" + secret + ",k1:" + secret},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			keys, err := ParseKeys(tc.text)
			is.Equal(len(keys), tc.want)
			is.Equal(errors.Is(err, ErrInvalidKey), tc.want == 0)
			if err != nil {
				is.True(!strings.Contains(err.Error(), "5e5e")) // errors contain no secret
			}
			formatted := fmt.Sprintf("%v %+v %#v %s", keys, keys, keys, keys)
			is.True(!strings.Contains(formatted, "5e5e") && !strings.Contains(formatted, "94 94") && !strings.Contains(formatted, "^^"))
		})
	}
}

func TestValidate(t *testing.T) {
	for _, change := range []func(*Binding){
		func(b *Binding) { b.Account = "" },
		func(b *Binding) { b.SessionID = "" },
		func(b *Binding) { b.Model = "" },
		func(b *Binding) { b.Version = "" },
		func(b *Binding) { b.SessionID = strings.Repeat("x", maxFieldBytes+1) },
	} {
		is := is.New(t)
		b := testBinding
		change(&b)
		is.True(errors.Is(b.Validate(), ErrInvalidBinding))
		is.Equal(NewCodec([]Key{keyA}, time.Hour, nil).Mint(b), "")
	}
}

func FuzzVerify(f *testing.F) {
	clock := &testClock{now: testTime}
	codec := NewCodec([]Key{keyA}, time.Hour, clock.Now)
	f.Add(codec.Mint(testBinding))
	f.Add("")
	f.Add("AQFhBGFjbWU")
	f.Fuzz(func(t *testing.T, token string) {
		b, err := codec.Verify(token, testBinding.Account)
		if err != nil {
			return
		}
		if codec.Mint(b) != token {
			t.Fatalf("accepted %q, but %+v encodes to another token", token, b)
		}
	})
}

func versionsWithShares(shares ...int) []manifest.Version {
	vs := make([]manifest.Version, len(shares))
	for i, s := range shares {
		vs[i] = manifest.Version{Name: fmt.Sprintf("v%d", i+1), State: manifest.Serving, Share: s}
	}
	return vs
}

func TestChooseReturnsOnlyVersionsThatAcceptNewSessions(t *testing.T) {
	is := is.New(t)
	vs := versionsWithShares(30, 50, 10, 10, 0)
	vs[1].State = manifest.Withdrawn
	vs[2].State = manifest.RollingOut
	vs[3].State = manifest.RollingIn
	for i := range 1000 {
		v, ok := ChooseVersion(vs, SessionHash("acme", fmt.Sprint(i), "small"))
		is.True(ok)
		is.True(v.Name == "v1" || v.Name == "v4")
	}
	_, ok := ChooseVersion(vs[1:3], 0)
	is.True(!ok)
}

func BenchmarkMint(b *testing.B) {
	codec := NewCodec([]Key{keyA}, time.Hour, nil)
	b.ReportAllocs()
	for b.Loop() {
		codec.Mint(testBinding)
	}
}

func BenchmarkVerify(b *testing.B) {
	clock := &testClock{now: testTime}
	codec := NewCodec([]Key{keyA}, time.Hour, clock.Now)
	token := codec.Mint(testBinding)
	b.ReportMetric(float64(len(token)), "chars")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := codec.Verify(token, "acme"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	vs := versionsWithShares(60, 30, 10)
	b.ReportAllocs()
	for b.Loop() {
		ChooseVersion(vs, SessionHash("acme", "s-1", "small"))
	}
}
