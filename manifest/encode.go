package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Encode returns the canonical form of a document: fields in the order of the
// struct types, empty optional fields omitted, numbers in their shortest form,
// no spaces, and one line for each entry of a top-level list. Parsing the
// canonical form of a document that Parse accepted returns an equal document.
func Encode(doc *Document) []byte {
	var b bytes.Buffer
	b.WriteByte('{')
	writeField(&b, "format", doc.Format)
	writeField(&b, "parent", doc.Parent)
	writeField(&b, "build", doc.Build)
	writeList(&b, "models", doc.Models, true)
	writeList(&b, "cascades", doc.Cascades, false)
	writeList(&b, "services", doc.Services, false)
	writeList(&b, "classes", doc.Classes, true)
	writeList(&b, "accounts", doc.Accounts, true)
	b.WriteString(`"sessions":`)
	writeJSON(&b, doc.Sessions)
	b.WriteString("}\n")
	return b.Bytes()
}

func writeField(b *bytes.Buffer, name string, value any) {
	b.WriteString(`"` + name + `":`)
	writeJSON(b, value)
	b.WriteString(",\n")
}

func writeList[T any](b *bytes.Buffer, name string, list []T, required bool) {
	if len(list) == 0 && !required {
		return
	}
	b.WriteString(`"` + name + "\":[")
	for i := range list {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteByte('\n')
		writeJSON(b, &list[i])
	}
	b.WriteString("],\n")
}

// writeJSON appends a value as JSON. It panics on an encoding error, which can't
// occur: a document comes from JSON and so contains no NaN.
func writeJSON(b *bytes.Buffer, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("manifest: encode: " + err.Error())
	}
	b.Write(data)
}

// Digest returns "sha256:" and the hex SHA-256 of the canonical form of data, so
// that spaces, the order of keys and the notation of numbers make no difference.
// As a document contains the digest of its parent, its own digest also identifies
// all documents before it. Digest returns "" if Parse rejects data.
func Digest(data []byte) string {
	doc, err := Parse(data)
	if err != nil {
		return ""
	}
	return DigestCanonical(Encode(doc))
}

// DigestCanonical returns the digest of text that is already in canonical form.
func DigestCanonical(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return digestPrefix + hex.EncodeToString(sum[:])
}
