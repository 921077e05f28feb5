package pool

import "github.com/mimosakeel/mimosakeel/cost"

// maxAnswerKinds bounds the kinds of requests whose answer lengths a pool remembers, with
// and without customer. A kind takes about 250 bytes.
const maxAnswerKinds = 2_000

// answerKind returns the kind of a request for the length of its answer. A customer's
// short and long answers differ in the length of the prompt or in the longest answer.
func answerKind(customer string, prompt, limit int) cost.Kind {
	return cost.Kind{Size: cost.SizeClass(limit)<<4 | cost.SizeClass(prompt), Customer: customer}
}

// expectedAnswer predicts the length of an answer in tokens. It addresses loads in which
// kinds of one customer have answers of very different lengths: their average would
// reserve too much memory for some and too little for others. Unknown kinds get the
// customer's average share of the longest answer.
func (p *Pool) expectedAnswer(c *customer, prompt, limit int) int {
	if p.cfg.ExpectedAnswers && p.answers != nil {
		if e := p.answers.Expect(answerKind(c.name, prompt, limit)); e.Known {
			return min(max(int(e.Mean+0.5), 1), limit)
		}
	}
	return max(int(c.answerRatio*float64(limit)), 1)
}

// learnAnswer records the length of an answer. An attempt without any token says nothing
// about it.
func (p *Pool) learnAnswer(t *ticket) {
	if !p.cfg.ExpectedAnswers || t.produced == 0 {
		return
	}
	if p.answers == nil {
		p.answers = cost.NewKinds(maxAnswerKinds)
	}
	p.answers.Observe(answerKind(t.customer.name, t.prompt, t.limit), float64(t.produced))
}
