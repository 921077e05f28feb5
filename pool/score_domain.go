package pool

// ScoreDomain prefers runners in the failure domain where the request entered,
// because traffic between failure domains costs money.
type ScoreDomain struct{}

// Score implements Scorer.
func (ScoreDomain) Score(v *View, c *Candidate) float64 {
	if v.Request.FailureDomain == "" || c.Info.FailureDomain == v.Request.FailureDomain {
		return 0
	}
	return v.Config.CrossDomainCost
}
