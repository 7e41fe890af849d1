	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC :init: */

	case 3: // STATE 1
		;
		sv_restor();
;
		;
		goto R999;

	case 4: // STATE 12
		;
		now.replica[0].known[3] = trpt->bup.ovals[10];
		now.replica[0].known[2] = trpt->bup.ovals[9];
		now.replica[0].known[1] = trpt->bup.ovals[8];
		now.replica[0].known[0] = trpt->bup.ovals[7];
		now.replica[0].unsure = trpt->bup.ovals[6];
		now.replica[0].to = trpt->bup.ovals[5];
		now.replica[0].promised = trpt->bup.ovals[4];
		now.replica[0].round = trpt->bup.ovals[3];
		now.replica[0].holder = trpt->bup.ovals[2];
		now.replica[0].announced = trpt->bup.ovals[1];
		now.replica[0].able = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;

	case 5: // STATE 22
		;
		now.replica[0].life = trpt->bup.ovals[7];
		now.replica[0].announced = trpt->bup.ovals[6];
		now.replica[0].able = trpt->bup.ovals[5];
		now.replica[0].sourceAble = trpt->bup.ovals[4];
		now.replica[0].source[3] = trpt->bup.ovals[3];
		now.replica[0].source[2] = trpt->bup.ovals[2];
		now.replica[0].source[1] = trpt->bup.ovals[1];
		now.replica[0].source[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 6: // STATE 34
		;
		now.replica[1].known[3] = trpt->bup.ovals[10];
		now.replica[1].known[2] = trpt->bup.ovals[9];
		now.replica[1].known[1] = trpt->bup.ovals[8];
		now.replica[1].known[0] = trpt->bup.ovals[7];
		now.replica[1].unsure = trpt->bup.ovals[6];
		now.replica[1].to = trpt->bup.ovals[5];
		now.replica[1].promised = trpt->bup.ovals[4];
		now.replica[1].round = trpt->bup.ovals[3];
		now.replica[1].holder = trpt->bup.ovals[2];
		now.replica[1].announced = trpt->bup.ovals[1];
		now.replica[1].able = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;

	case 7: // STATE 44
		;
		now.replica[1].life = trpt->bup.ovals[7];
		now.replica[1].announced = trpt->bup.ovals[6];
		now.replica[1].able = trpt->bup.ovals[5];
		now.replica[1].sourceAble = trpt->bup.ovals[4];
		now.replica[1].source[3] = trpt->bup.ovals[3];
		now.replica[1].source[2] = trpt->bup.ovals[2];
		now.replica[1].source[1] = trpt->bup.ovals[1];
		now.replica[1].source[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 8: // STATE 56
		;
		now.replica[2].known[3] = trpt->bup.ovals[10];
		now.replica[2].known[2] = trpt->bup.ovals[9];
		now.replica[2].known[1] = trpt->bup.ovals[8];
		now.replica[2].known[0] = trpt->bup.ovals[7];
		now.replica[2].unsure = trpt->bup.ovals[6];
		now.replica[2].to = trpt->bup.ovals[5];
		now.replica[2].promised = trpt->bup.ovals[4];
		now.replica[2].round = trpt->bup.ovals[3];
		now.replica[2].holder = trpt->bup.ovals[2];
		now.replica[2].announced = trpt->bup.ovals[1];
		now.replica[2].able = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;

	case 9: // STATE 66
		;
		now.replica[2].life = trpt->bup.ovals[7];
		now.replica[2].announced = trpt->bup.ovals[6];
		now.replica[2].able = trpt->bup.ovals[5];
		now.replica[2].sourceAble = trpt->bup.ovals[4];
		now.replica[2].source[3] = trpt->bup.ovals[3];
		now.replica[2].source[2] = trpt->bup.ovals[2];
		now.replica[2].source[1] = trpt->bup.ovals[1];
		now.replica[2].source[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 10: // STATE 78
		;
		now.replica[3].known[3] = trpt->bup.ovals[10];
		now.replica[3].known[2] = trpt->bup.ovals[9];
		now.replica[3].known[1] = trpt->bup.ovals[8];
		now.replica[3].known[0] = trpt->bup.ovals[7];
		now.replica[3].unsure = trpt->bup.ovals[6];
		now.replica[3].to = trpt->bup.ovals[5];
		now.replica[3].promised = trpt->bup.ovals[4];
		now.replica[3].round = trpt->bup.ovals[3];
		now.replica[3].holder = trpt->bup.ovals[2];
		now.replica[3].announced = trpt->bup.ovals[1];
		now.replica[3].able = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;

	case 11: // STATE 86
		;
		now.replica[3].life = trpt->bup.ovals[5];
		now.replica[3].sourceAble = trpt->bup.ovals[4];
		now.replica[3].source[3] = trpt->bup.ovals[3];
		now.replica[3].source[2] = trpt->bup.ovals[2];
		now.replica[3].source[1] = trpt->bup.ovals[1];
		now.replica[3].source[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 12: // STATE 98
		;
		now.attempt[1].voted[3] = trpt->bup.ovals[11];
		now.attempt[1].voted[2] = trpt->bup.ovals[10];
		now.attempt[1].voted[1] = trpt->bup.ovals[9];
		now.attempt[1].voted[0] = trpt->bup.ovals[8];
		now.attempt[1].known[3] = trpt->bup.ovals[7];
		now.attempt[1].known[2] = trpt->bup.ovals[6];
		now.attempt[1].known[1] = trpt->bup.ovals[5];
		now.attempt[1].known[0] = trpt->bup.ovals[4];
		now.attempt[1].vote[3] = trpt->bup.ovals[3];
		now.attempt[1].vote[2] = trpt->bup.ovals[2];
		now.attempt[1].vote[1] = trpt->bup.ovals[1];
		now.attempt[1].vote[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 12);
		goto R999;

	case 13: // STATE 111
		;
		now.attempt[2].voted[3] = trpt->bup.ovals[11];
		now.attempt[2].voted[2] = trpt->bup.ovals[10];
		now.attempt[2].voted[1] = trpt->bup.ovals[9];
		now.attempt[2].voted[0] = trpt->bup.ovals[8];
		now.attempt[2].known[3] = trpt->bup.ovals[7];
		now.attempt[2].known[2] = trpt->bup.ovals[6];
		now.attempt[2].known[1] = trpt->bup.ovals[5];
		now.attempt[2].known[0] = trpt->bup.ovals[4];
		now.attempt[2].vote[3] = trpt->bup.ovals[3];
		now.attempt[2].vote[2] = trpt->bup.ovals[2];
		now.attempt[2].vote[1] = trpt->bup.ovals[1];
		now.attempt[2].vote[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 12);
		goto R999;

	case 14: // STATE 124
		;
		now.attempt[3].voted[3] = trpt->bup.ovals[11];
		now.attempt[3].voted[2] = trpt->bup.ovals[10];
		now.attempt[3].voted[1] = trpt->bup.ovals[9];
		now.attempt[3].voted[0] = trpt->bup.ovals[8];
		now.attempt[3].known[3] = trpt->bup.ovals[7];
		now.attempt[3].known[2] = trpt->bup.ovals[6];
		now.attempt[3].known[1] = trpt->bup.ovals[5];
		now.attempt[3].known[0] = trpt->bup.ovals[4];
		now.attempt[3].vote[3] = trpt->bup.ovals[3];
		now.attempt[3].vote[2] = trpt->bup.ovals[2];
		now.attempt[3].vote[1] = trpt->bup.ovals[1];
		now.attempt[3].vote[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 12);
		goto R999;

	case 15: // STATE 126
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 16: // STATE 127
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 17: // STATE 128
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;
;
		;
		
	case 19: // STATE 130
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 20: // STATE 134
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 21: // STATE 135
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;
;
		;
		
	case 23: // STATE 137
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 24: // STATE 141
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 25: // STATE 143
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Configuration */
	case 26: // STATE 3
		sv_restor();
		goto R999;
	case 27: // STATE 6
		sv_restor();
		goto R999;

	case 28: // STATE 10
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Coordinator */
	case 29: // STATE 19
		sv_restor();
		goto R999;
	case 30: // STATE 39
		sv_restor();
		goto R999;
	case 31: // STATE 58
		sv_restor();
		goto R999;
	case 32: // STATE 77
		sv_restor();
		goto R999;
	case 33: // STATE 93
		sv_restor();
		goto R999;
	case 34: // STATE 114
		sv_restor();
		goto R999;
	case 35: // STATE 131
		sv_restor();
		goto R999;
	case 36: // STATE 152
		sv_restor();
		goto R999;

	case 37: // STATE 156
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Node */
	case 38: // STATE 37
		sv_restor();
		goto R999;
	case 39: // STATE 74
		sv_restor();
		goto R999;
	case 40: // STATE 111
		sv_restor();
		goto R999;
	case 41: // STATE 148
		sv_restor();
		goto R999;
	case 42: // STATE 185
		sv_restor();
		goto R999;
	case 43: // STATE 222
		sv_restor();
		goto R999;
	case 44: // STATE 259
		sv_restor();
		goto R999;
	case 45: // STATE 295
		sv_restor();
		goto R999;
	case 46: // STATE 331
		sv_restor();
		goto R999;
	case 47: // STATE 367
		sv_restor();
		goto R999;
	case 48: // STATE 403
		sv_restor();
		goto R999;
	case 49: // STATE 418
		sv_restor();
		goto R999;
	case 50: // STATE 433
		sv_restor();
		goto R999;
	case 51: // STATE 448
		sv_restor();
		goto R999;
	case 52: // STATE 541
		sv_restor();
		goto R999;
	case 53: // STATE 634
		sv_restor();
		goto R999;
	case 54: // STATE 727
		sv_restor();
		goto R999;
	case 55: // STATE 820
		sv_restor();
		goto R999;
	case 56: // STATE 849
		sv_restor();
		goto R999;
	case 57: // STATE 860
		sv_restor();
		goto R999;

	case 58: // STATE 864
		;
		p_restor(II);
		;
		;
		goto R999;
	}

