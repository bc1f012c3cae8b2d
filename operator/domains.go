package operator

import (
	"context"
	"net/http"
	"net/url"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
)

// Domains lists the failure domains.
func (c *Client) Domains(ctx context.Context) ([]administrator.Domain, error) {
	var list []administrator.Domain
	err := c.call(ctx, http.MethodGet, "/v1/domains", nil, &list)
	return list, err
}

// TakeDomainOut takes a failure domain out of service.
func (c *Client) TakeDomainOut(ctx context.Context, domain cowslipbend.Domain) error {
	return c.call(ctx, http.MethodPost, "/v1/domains/"+url.PathEscape(string(domain))+"/out", nil, nil)
}

// PutDomainBack puts a failure domain back in service.
func (c *Client) PutDomainBack(ctx context.Context, domain cowslipbend.Domain) error {
	return c.call(ctx, http.MethodPost, "/v1/domains/"+url.PathEscape(string(domain))+"/back", nil, nil)
}
