package rig

// CoreStore returns settings like those of the operators' site kayseri-core-store, of its first tier.
func CoreStore() *Site {
	return &Site{
		Classes: []Class{
			{Name: "box-move", Repeat: "unsafe", Group: "all", Aim: 1, GiveUp: 2.5, Window: 10, Worth: 3, LateShare: 0.25, WorkLowMS: 80, WorkHighMS: 200},
			{Name: "sample-cut", Repeat: "keyed", Group: "cell", Aim: 2.5, GiveUp: 6, Window: 10, Worth: 8, LateShare: 0.5, WorkLowMS: 300, WorkHighMS: 700},
		},
		Tier: "intake", Zones: []string{"kayseri"}, Peers: 2, MemoryMB: 64, Sockets: 512, Cancel: true, ParallelTries: true, SendCap: 3, Probes: true,
		ReportVia: "on_probe", ReportFields: []string{"busy"}, ReportsInAnswers: "util=0.40", DrainGrace: 0.5, ColdShare: 0.12, ColdS: 24, OverloadFactor: 3,
		TipAfterS: 1, ConnIdleS: 10, ConnectTimeoutS: 0.2, MaxRetryAfterS: 2, AskWithinS: 10, Whole: 0.55, WorstWindow: 0.35, WorstClass: 0.1,
	}
}

// Prod returns settings like those of the operators' site montreal-prod, of its first tier.
func Prod() *Site {
	return &Site{
		Classes: []Class{
			{Name: "consulter-solde", Repeat: "safe", Group: "all", Aim: 2.5, GiveUp: 6, Window: 5, Worth: 1, WorkLowMS: 80, WorkHighMS: 220},
			{Name: "payer-facture", Repeat: "unsafe", Group: "all", Aim: 2.5, GiveUp: 6, Window: 5, Worth: 3, WorkLowMS: 120, WorkHighMS: 280},
			{Name: "entente-paiement", Repeat: "unsafe", Group: "all", Aim: 2.5, GiveUp: 6, Window: 5, Worth: 3, WorkLowMS: 120, WorkHighMS: 280},
		},
		Tier: "portail", Zones: []string{"mtl-1"}, Peers: 1, MemoryMB: 64, Sockets: 512, Cancel: true, SendCap: 4, Probes: true,
		ReportVia: "inline", ReportFields: []string{"q", "rif", "rate", "busy"}, ReportsInAnswers: "inflight=1,queue=0,util=0.30,qps=8", DrainGrace: 0.5,
		ColdShare: 0.16, ColdS: 22, OverloadFactor: 2.5, TipAfterS: 1.5, ConnIdleS: 30, ConnectTimeoutS: 0.25, MaxRetryAfterS: 2, AskWithinS: 10,
		Whole: 0.75, WorstWindow: 0.05, WorstClass: 0.2,
	}
}
