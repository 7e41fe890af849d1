	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* CLAIM converges */
;
		;
		
	case 4: // STATE 13
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC :init: */

	case 5: // STATE 1
		;
		sv_restor();
;
		;
		goto R999;

	case 6: // STATE 8
		;
		now.node[0].inForce = trpt->bup.ovals[6];
		now.node[0].accepted = trpt->bup.ovals[5];
		now.node[0].staged = trpt->bup.ovals[4];
		now.node[0].secret = trpt->bup.ovals[3];
		now.node[0].service = trpt->bup.ovals[2];
		now.node[0].ready = trpt->bup.ovals[1];
		now.node[0].up = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 7: // STATE 16
		;
		now.node[1].inForce = trpt->bup.ovals[6];
		now.node[1].accepted = trpt->bup.ovals[5];
		now.node[1].staged = trpt->bup.ovals[4];
		now.node[1].secret = trpt->bup.ovals[3];
		now.node[1].service = trpt->bup.ovals[2];
		now.node[1].ready = trpt->bup.ovals[1];
		now.node[1].up = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 8: // STATE 24
		;
		now.node[2].inForce = trpt->bup.ovals[6];
		now.node[2].accepted = trpt->bup.ovals[5];
		now.node[2].staged = trpt->bup.ovals[4];
		now.node[2].secret = trpt->bup.ovals[3];
		now.node[2].service = trpt->bup.ovals[2];
		now.node[2].ready = trpt->bup.ovals[1];
		now.node[2].up = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 9: // STATE 26
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 10: // STATE 27
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 11: // STATE 28
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 12: // STATE 29
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 13: // STATE 30
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 14: // STATE 32
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Monitor */
;
		;
		;
		;
		
	case 17: // STATE 3
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Faults */
	case 18: // STATE 3
		sv_restor();
		goto R999;
	case 19: // STATE 29
		sv_restor();
		goto R999;
	case 20: // STATE 55
		sv_restor();
		goto R999;
	case 21: // STATE 81
		sv_restor();
		goto R999;
	case 22: // STATE 87
		sv_restor();
		goto R999;
	case 23: // STATE 93
		sv_restor();
		goto R999;
	case 24: // STATE 99
		sv_restor();
		goto R999;
	case 25: // STATE 103
		sv_restor();
		goto R999;
	case 26: // STATE 106
		sv_restor();
		goto R999;
	case 27: // STATE 109
		sv_restor();
		goto R999;
	case 28: // STATE 113
		sv_restor();
		goto R999;

	case 29: // STATE 117
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Process */
	case 30: // STATE 18
		sv_restor();
		goto R999;
	case 31: // STATE 36
		sv_restor();
		goto R999;
	case 32: // STATE 54
		sv_restor();
		goto R999;
	case 33: // STATE 72
		sv_restor();
		goto R999;
	case 34: // STATE 90
		sv_restor();
		goto R999;
	case 35: // STATE 108
		sv_restor();
		goto R999;
	case 36: // STATE 119
		sv_restor();
		goto R999;
	case 37: // STATE 130
		sv_restor();
		goto R999;
	case 38: // STATE 133
		sv_restor();
		goto R999;
	case 39: // STATE 136
		sv_restor();
		goto R999;
	case 40: // STATE 145
		sv_restor();
		goto R999;
	case 41: // STATE 154
		sv_restor();
		goto R999;
	case 42: // STATE 163
		sv_restor();
		goto R999;
	case 43: // STATE 172
		sv_restor();
		goto R999;
	case 44: // STATE 193
		sv_restor();
		goto R999;
	case 45: // STATE 201
		sv_restor();
		goto R999;
	case 46: // STATE 212
		sv_restor();
		goto R999;

	case 47: // STATE 216
		;
		p_restor(II);
		;
		;
		goto R999;
	}

