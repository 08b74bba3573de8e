package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// Role is a set of permitted requests.
type Role string

// The roles of tokens. Every role except RoleBackend includes RoleRead.
const (
	RoleRead              Role = "read"               // all GET requests and validation
	RolePublishParameters Role = "publish-parameters" // records for the parameters of the token's teams
	RolePublishTemplates  Role = "publish-templates"  // records for templates
	RoleAdmin             Role = "admin"              // removal of members and drain
	RoleBackend           Role = "backend"            // announcements of the local backend server
)

const (
	minTokenBytes     = 16  // makes guessing infeasible
	maxTokenNameBytes = 128 // limit of the author of a record, which is the token's name
)

// Token is one credential. It is sent as "Authorization: Bearer <secret>".
type Token struct {
	Name   string   `json:"name"`            // name of the operator; becomes the author of records
	Secret string   `json:"secret"`          // at least 16 bytes
	Roles  []Role   `json:"roles"`           // at least one
	Teams  []string `json:"teams,omitempty"` // teams whose parameters RolePublishParameters may change
}

// ValidateTokens returns all errors in a list of tokens. Field names in the errors start with prefix.
func ValidateTokens(prefix string, tokens []Token) apierror.List {
	var errs apierror.List
	secrets := make(map[string]bool)
	for i, token := range tokens {
		field := fmt.Sprintf("%s[%d]", prefix, i)
		errs = append(errs, token.validate(field)...)
		if secrets[token.Secret] {
			errs = append(errs, apierror.InvalidField(field+".secret", "the same secret is used by another token", "give each token its own secret"))
		}
		secrets[token.Secret] = true
	}
	return errs
}

func (t Token) validate(field string) apierror.List {
	var errs apierror.List
	if t.Name == "" || len(t.Name) > maxTokenNameBytes {
		errs = append(errs, apierror.InvalidField(field+".name", "missing or longer than 128 bytes", "use the name of the operator or program that uses the token"))
	}
	if len(t.Secret) < minTokenBytes {
		errs = append(errs, apierror.InvalidField(field+".secret", "shorter than 16 bytes", "use 16 or more random bytes"))
	}
	if len(t.Roles) == 0 {
		errs = append(errs, apierror.InvalidField(field+".roles", "missing", "use read, publish-parameters, publish-templates, admin or backend"))
	}
	for _, role := range t.Roles {
		switch role {
		case RoleRead, RolePublishParameters, RolePublishTemplates, RoleAdmin, RoleBackend:
		default:
			errs = append(errs, apierror.InvalidField(field+".roles", "unknown role "+string(role), "use read, publish-parameters, publish-templates, admin or backend"))
		}
	}
	if slices.Contains(t.Roles, RolePublishParameters) != (len(t.Teams) > 0) {
		errs = append(errs, apierror.InvalidField(field+".teams", "teams and role publish-parameters must be set together", "set both or neither"))
	}
	return errs
}

// caller is the authenticated sender of a request. The token is nil only if authentication is disabled; it then has all roles.
type caller struct {
	token *Token
}

func (c caller) has(role Role) bool {
	if c.token == nil || slices.Contains(c.token.Roles, role) {
		return true
	}
	if role != RoleRead {
		return false
	}
	return slices.ContainsFunc(c.token.Roles, func(r Role) bool { return r != RoleBackend })
}

// mayPublish reports whether the caller may change the entity.
func (c caller) mayPublish(entity config.Entity) bool {
	if entity.Kind == config.KindTemplate {
		return c.has(RolePublishTemplates)
	}
	team, _, _ := strings.Cut(entity.Name, "/")
	return c.has(RolePublishParameters) && (c.token == nil || slices.Contains(c.token.Teams, team))
}

// author returns the author for the caller's records: the token's name, or the claimed author if authentication is disabled.
func (c caller) author(claimed string) string {
	if c.token == nil {
		return claimed
	}
	return c.token.Name
}

type hashedToken struct {
	hash  [sha256.Size]byte
	token *Token
}

type authenticator struct {
	disabled bool
	tokens   []hashedToken
}

func newAuthenticator(tokens []Token, disabled bool) *authenticator {
	a := &authenticator{disabled: disabled}
	for i := range tokens {
		token := tokens[i]
		if len(token.Secret) < minTokenBytes {
			continue // an empty or short secret must not authenticate a request
		}
		a.tokens = append(a.tokens, hashedToken{hash: sha256.Sum256([]byte(token.Secret)), token: &token})
	}
	return a
}

// authenticate compares the hash of the secret with that of every token, so that the duration does not reveal anything about secrets.
func (a *authenticator) authenticate(r *http.Request) (caller, *apierror.Error) {
	if a.disabled {
		return caller{}, nil
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, apierror.New(apierror.Unauthenticated, "no bearer token in the request", "pass --token-file, or set header Authorization: Bearer <token>")
	}
	hash := sha256.Sum256([]byte(strings.TrimSpace(secret)))
	var found *Token
	for i := range a.tokens {
		if subtle.ConstantTimeCompare(hash[:], a.tokens[i].hash[:]) == 1 {
			found = a.tokens[i].token
		}
	}
	if found == nil {
		return caller{}, apierror.New(apierror.Unauthenticated, "the token is not known to this node", "use a token listed in the tokens file of the node (setting operators.tokens_file)")
	}
	return caller{token: found}, nil
}

func forbidden(c caller, role Role) *apierror.Error {
	name := "this token"
	if c.token != nil {
		name = "token " + c.token.Name
	}
	return apierror.New(apierror.Forbidden, name+" lacks role "+string(role), "use a token with that role")
}
