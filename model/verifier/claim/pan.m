#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC :init: */
	case 3: // STATE 1 - ../../claim.pml:418 - [{c_code1}] (0:0:0 - 1)
		IfNotBlocked
		reached[3][1] = 1;
		/* c_code1 */
		{ 
		sv_save();
      mutant = atoi(getenv("MUTANT"));
      maxCrashes = atoi(getenv("CRASHES"));
      mortal = atoi(getenv("MORTAL"));
      maxRound = atoi(getenv("ROUNDS"));
      change = atoi(getenv("CHANGE")) > 0;
      split = atoi(getenv("CHANGE")) > 1;
      attempts = atoi(getenv("ATTEMPTS"));
      witness = atoi(getenv("WITNESS"));
     }

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
;
		_m = 3; goto P999; /* 0 */
	case 4: // STATE 2 - ../../claim.pml:187 - [replica[0].able = 0] (0:18:11 - 1)
		IfNotBlocked
		reached[3][2] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[0].able);
		now.replica[0].able = 0;
#ifdef VAR_RANGES
		logval("replica[0].able", ((int)now.replica[0].able));
#endif
		;
		/* merge: replica[0].announced = 0(18, 3, 18) */
		reached[3][3] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[0].announced);
		now.replica[0].announced = 0;
#ifdef VAR_RANGES
		logval("replica[0].announced", ((int)now.replica[0].announced));
#endif
		;
		/* merge: replica[0].holder = 0(18, 4, 18) */
		reached[3][4] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[0].holder);
		now.replica[0].holder = 0;
#ifdef VAR_RANGES
		logval("replica[0].holder", ((int)now.replica[0].holder));
#endif
		;
		/* merge: replica[0].round = 0(18, 5, 18) */
		reached[3][5] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[0].round);
		now.replica[0].round = 0;
#ifdef VAR_RANGES
		logval("replica[0].round", ((int)now.replica[0].round));
#endif
		;
		/* merge: replica[0].promised = 0(18, 6, 18) */
		reached[3][6] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[0].promised);
		now.replica[0].promised = 0;
#ifdef VAR_RANGES
		logval("replica[0].promised", ((int)now.replica[0].promised));
#endif
		;
		/* merge: replica[0].to = 0(18, 7, 18) */
		reached[3][7] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[0].to);
		now.replica[0].to = 0;
#ifdef VAR_RANGES
		logval("replica[0].to", ((int)now.replica[0].to));
#endif
		;
		/* merge: replica[0].unsure = 0(18, 8, 18) */
		reached[3][8] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.replica[0].unsure);
		now.replica[0].unsure = 0;
#ifdef VAR_RANGES
		logval("replica[0].unsure", ((int)now.replica[0].unsure));
#endif
		;
		/* merge: replica[0].known[0] = 1(18, 9, 18) */
		reached[3][9] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.replica[0].known[0]);
		now.replica[0].known[0] = 1;
#ifdef VAR_RANGES
		logval("replica[0].known[0]", ((int)now.replica[0].known[0]));
#endif
		;
		/* merge: replica[0].known[1] = 1(18, 10, 18) */
		reached[3][10] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.replica[0].known[1]);
		now.replica[0].known[1] = 1;
#ifdef VAR_RANGES
		logval("replica[0].known[1]", ((int)now.replica[0].known[1]));
#endif
		;
		/* merge: replica[0].known[2] = 1(18, 11, 18) */
		reached[3][11] = 1;
		(trpt+1)->bup.ovals[9] = ((int)now.replica[0].known[2]);
		now.replica[0].known[2] = 1;
#ifdef VAR_RANGES
		logval("replica[0].known[2]", ((int)now.replica[0].known[2]));
#endif
		;
		/* merge: replica[0].known[3] = 1(18, 12, 18) */
		reached[3][12] = 1;
		(trpt+1)->bup.ovals[10] = ((int)now.replica[0].known[3]);
		now.replica[0].known[3] = 1;
#ifdef VAR_RANGES
		logval("replica[0].known[3]", ((int)now.replica[0].known[3]));
#endif
		;
		_m = 3; goto P999; /* 10 */
	case 5: // STATE 13 - ../../claim.pml:118 - [replica[0].source[0] = 0] (0:45:8 - 1)
		IfNotBlocked
		reached[3][13] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[0].source[0]);
		now.replica[0].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[0].source[0]", ((int)now.replica[0].source[0]));
#endif
		;
		/* merge: replica[0].source[1] = 0(45, 14, 45) */
		reached[3][14] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[0].source[1]);
		now.replica[0].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[0].source[1]", ((int)now.replica[0].source[1]));
#endif
		;
		/* merge: replica[0].source[2] = 0(45, 15, 45) */
		reached[3][15] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[0].source[2]);
		now.replica[0].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[0].source[2]", ((int)now.replica[0].source[2]));
#endif
		;
		/* merge: replica[0].source[3] = 0(45, 16, 45) */
		reached[3][16] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[0].source[3]);
		now.replica[0].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[0].source[3]", ((int)now.replica[0].source[3]));
#endif
		;
		/* merge: replica[0].sourceAble = 0(45, 17, 45) */
		reached[3][17] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[0].sourceAble);
		now.replica[0].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[0].sourceAble", ((int)now.replica[0].sourceAble));
#endif
		;
		/* merge: replica[0].able = 1(45, 20, 45) */
		reached[3][20] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[0].able);
		now.replica[0].able = 1;
#ifdef VAR_RANGES
		logval("replica[0].able", ((int)now.replica[0].able));
#endif
		;
		/* merge: replica[0].announced = 1(45, 21, 45) */
		reached[3][21] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.replica[0].announced);
		now.replica[0].announced = 1;
#ifdef VAR_RANGES
		logval("replica[0].announced", ((int)now.replica[0].announced));
#endif
		;
		/* merge: replica[0].life = 1(45, 22, 45) */
		reached[3][22] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.replica[0].life);
		now.replica[0].life = 1;
#ifdef VAR_RANGES
		logval("replica[0].life", ((int)now.replica[0].life));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 6: // STATE 24 - ../../claim.pml:187 - [replica[1].able = 0] (0:40:11 - 1)
		IfNotBlocked
		reached[3][24] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[1].able);
		now.replica[1].able = 0;
#ifdef VAR_RANGES
		logval("replica[1].able", ((int)now.replica[1].able));
#endif
		;
		/* merge: replica[1].announced = 0(40, 25, 40) */
		reached[3][25] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[1].announced);
		now.replica[1].announced = 0;
#ifdef VAR_RANGES
		logval("replica[1].announced", ((int)now.replica[1].announced));
#endif
		;
		/* merge: replica[1].holder = 0(40, 26, 40) */
		reached[3][26] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[1].holder);
		now.replica[1].holder = 0;
#ifdef VAR_RANGES
		logval("replica[1].holder", ((int)now.replica[1].holder));
#endif
		;
		/* merge: replica[1].round = 0(40, 27, 40) */
		reached[3][27] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[1].round);
		now.replica[1].round = 0;
#ifdef VAR_RANGES
		logval("replica[1].round", ((int)now.replica[1].round));
#endif
		;
		/* merge: replica[1].promised = 0(40, 28, 40) */
		reached[3][28] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[1].promised);
		now.replica[1].promised = 0;
#ifdef VAR_RANGES
		logval("replica[1].promised", ((int)now.replica[1].promised));
#endif
		;
		/* merge: replica[1].to = 0(40, 29, 40) */
		reached[3][29] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[1].to);
		now.replica[1].to = 0;
#ifdef VAR_RANGES
		logval("replica[1].to", ((int)now.replica[1].to));
#endif
		;
		/* merge: replica[1].unsure = 0(40, 30, 40) */
		reached[3][30] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.replica[1].unsure);
		now.replica[1].unsure = 0;
#ifdef VAR_RANGES
		logval("replica[1].unsure", ((int)now.replica[1].unsure));
#endif
		;
		/* merge: replica[1].known[0] = 1(40, 31, 40) */
		reached[3][31] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.replica[1].known[0]);
		now.replica[1].known[0] = 1;
#ifdef VAR_RANGES
		logval("replica[1].known[0]", ((int)now.replica[1].known[0]));
#endif
		;
		/* merge: replica[1].known[1] = 1(40, 32, 40) */
		reached[3][32] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.replica[1].known[1]);
		now.replica[1].known[1] = 1;
#ifdef VAR_RANGES
		logval("replica[1].known[1]", ((int)now.replica[1].known[1]));
#endif
		;
		/* merge: replica[1].known[2] = 1(40, 33, 40) */
		reached[3][33] = 1;
		(trpt+1)->bup.ovals[9] = ((int)now.replica[1].known[2]);
		now.replica[1].known[2] = 1;
#ifdef VAR_RANGES
		logval("replica[1].known[2]", ((int)now.replica[1].known[2]));
#endif
		;
		/* merge: replica[1].known[3] = 1(40, 34, 40) */
		reached[3][34] = 1;
		(trpt+1)->bup.ovals[10] = ((int)now.replica[1].known[3]);
		now.replica[1].known[3] = 1;
#ifdef VAR_RANGES
		logval("replica[1].known[3]", ((int)now.replica[1].known[3]));
#endif
		;
		_m = 3; goto P999; /* 10 */
	case 7: // STATE 35 - ../../claim.pml:118 - [replica[1].source[0] = 0] (0:67:8 - 1)
		IfNotBlocked
		reached[3][35] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[1].source[0]);
		now.replica[1].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[1].source[0]", ((int)now.replica[1].source[0]));
#endif
		;
		/* merge: replica[1].source[1] = 0(67, 36, 67) */
		reached[3][36] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[1].source[1]);
		now.replica[1].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[1].source[1]", ((int)now.replica[1].source[1]));
#endif
		;
		/* merge: replica[1].source[2] = 0(67, 37, 67) */
		reached[3][37] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[1].source[2]);
		now.replica[1].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[1].source[2]", ((int)now.replica[1].source[2]));
#endif
		;
		/* merge: replica[1].source[3] = 0(67, 38, 67) */
		reached[3][38] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[1].source[3]);
		now.replica[1].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[1].source[3]", ((int)now.replica[1].source[3]));
#endif
		;
		/* merge: replica[1].sourceAble = 0(67, 39, 67) */
		reached[3][39] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[1].sourceAble);
		now.replica[1].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[1].sourceAble", ((int)now.replica[1].sourceAble));
#endif
		;
		/* merge: replica[1].able = 1(67, 42, 67) */
		reached[3][42] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[1].able);
		now.replica[1].able = 1;
#ifdef VAR_RANGES
		logval("replica[1].able", ((int)now.replica[1].able));
#endif
		;
		/* merge: replica[1].announced = 1(67, 43, 67) */
		reached[3][43] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.replica[1].announced);
		now.replica[1].announced = 1;
#ifdef VAR_RANGES
		logval("replica[1].announced", ((int)now.replica[1].announced));
#endif
		;
		/* merge: replica[1].life = 1(67, 44, 67) */
		reached[3][44] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.replica[1].life);
		now.replica[1].life = 1;
#ifdef VAR_RANGES
		logval("replica[1].life", ((int)now.replica[1].life));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 8: // STATE 46 - ../../claim.pml:187 - [replica[2].able = 0] (0:62:11 - 1)
		IfNotBlocked
		reached[3][46] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[2].able);
		now.replica[2].able = 0;
#ifdef VAR_RANGES
		logval("replica[2].able", ((int)now.replica[2].able));
#endif
		;
		/* merge: replica[2].announced = 0(62, 47, 62) */
		reached[3][47] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[2].announced);
		now.replica[2].announced = 0;
#ifdef VAR_RANGES
		logval("replica[2].announced", ((int)now.replica[2].announced));
#endif
		;
		/* merge: replica[2].holder = 0(62, 48, 62) */
		reached[3][48] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[2].holder);
		now.replica[2].holder = 0;
#ifdef VAR_RANGES
		logval("replica[2].holder", ((int)now.replica[2].holder));
#endif
		;
		/* merge: replica[2].round = 0(62, 49, 62) */
		reached[3][49] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[2].round);
		now.replica[2].round = 0;
#ifdef VAR_RANGES
		logval("replica[2].round", ((int)now.replica[2].round));
#endif
		;
		/* merge: replica[2].promised = 0(62, 50, 62) */
		reached[3][50] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[2].promised);
		now.replica[2].promised = 0;
#ifdef VAR_RANGES
		logval("replica[2].promised", ((int)now.replica[2].promised));
#endif
		;
		/* merge: replica[2].to = 0(62, 51, 62) */
		reached[3][51] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[2].to);
		now.replica[2].to = 0;
#ifdef VAR_RANGES
		logval("replica[2].to", ((int)now.replica[2].to));
#endif
		;
		/* merge: replica[2].unsure = 0(62, 52, 62) */
		reached[3][52] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.replica[2].unsure);
		now.replica[2].unsure = 0;
#ifdef VAR_RANGES
		logval("replica[2].unsure", ((int)now.replica[2].unsure));
#endif
		;
		/* merge: replica[2].known[0] = 1(62, 53, 62) */
		reached[3][53] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.replica[2].known[0]);
		now.replica[2].known[0] = 1;
#ifdef VAR_RANGES
		logval("replica[2].known[0]", ((int)now.replica[2].known[0]));
#endif
		;
		/* merge: replica[2].known[1] = 1(62, 54, 62) */
		reached[3][54] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.replica[2].known[1]);
		now.replica[2].known[1] = 1;
#ifdef VAR_RANGES
		logval("replica[2].known[1]", ((int)now.replica[2].known[1]));
#endif
		;
		/* merge: replica[2].known[2] = 1(62, 55, 62) */
		reached[3][55] = 1;
		(trpt+1)->bup.ovals[9] = ((int)now.replica[2].known[2]);
		now.replica[2].known[2] = 1;
#ifdef VAR_RANGES
		logval("replica[2].known[2]", ((int)now.replica[2].known[2]));
#endif
		;
		/* merge: replica[2].known[3] = 1(62, 56, 62) */
		reached[3][56] = 1;
		(trpt+1)->bup.ovals[10] = ((int)now.replica[2].known[3]);
		now.replica[2].known[3] = 1;
#ifdef VAR_RANGES
		logval("replica[2].known[3]", ((int)now.replica[2].known[3]));
#endif
		;
		_m = 3; goto P999; /* 10 */
	case 9: // STATE 57 - ../../claim.pml:118 - [replica[2].source[0] = 0] (0:85:8 - 1)
		IfNotBlocked
		reached[3][57] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[2].source[0]);
		now.replica[2].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[2].source[0]", ((int)now.replica[2].source[0]));
#endif
		;
		/* merge: replica[2].source[1] = 0(85, 58, 85) */
		reached[3][58] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[2].source[1]);
		now.replica[2].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[2].source[1]", ((int)now.replica[2].source[1]));
#endif
		;
		/* merge: replica[2].source[2] = 0(85, 59, 85) */
		reached[3][59] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[2].source[2]);
		now.replica[2].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[2].source[2]", ((int)now.replica[2].source[2]));
#endif
		;
		/* merge: replica[2].source[3] = 0(85, 60, 85) */
		reached[3][60] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[2].source[3]);
		now.replica[2].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[2].source[3]", ((int)now.replica[2].source[3]));
#endif
		;
		/* merge: replica[2].sourceAble = 0(85, 61, 85) */
		reached[3][61] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[2].sourceAble);
		now.replica[2].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[2].sourceAble", ((int)now.replica[2].sourceAble));
#endif
		;
		/* merge: replica[2].able = 1(85, 64, 85) */
		reached[3][64] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[2].able);
		now.replica[2].able = 1;
#ifdef VAR_RANGES
		logval("replica[2].able", ((int)now.replica[2].able));
#endif
		;
		/* merge: replica[2].announced = 1(85, 65, 85) */
		reached[3][65] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.replica[2].announced);
		now.replica[2].announced = 1;
#ifdef VAR_RANGES
		logval("replica[2].announced", ((int)now.replica[2].announced));
#endif
		;
		/* merge: replica[2].life = 1(85, 66, 85) */
		reached[3][66] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.replica[2].life);
		now.replica[2].life = 1;
#ifdef VAR_RANGES
		logval("replica[2].life", ((int)now.replica[2].life));
#endif
		;
		_m = 3; goto P999; /* 7 */
	case 10: // STATE 68 - ../../claim.pml:187 - [replica[3].able = 0] (0:84:11 - 1)
		IfNotBlocked
		reached[3][68] = 1;
		(trpt+1)->bup.ovals = grab_ints(11);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[3].able);
		now.replica[3].able = 0;
#ifdef VAR_RANGES
		logval("replica[3].able", ((int)now.replica[3].able));
#endif
		;
		/* merge: replica[3].announced = 0(84, 69, 84) */
		reached[3][69] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[3].announced);
		now.replica[3].announced = 0;
#ifdef VAR_RANGES
		logval("replica[3].announced", ((int)now.replica[3].announced));
#endif
		;
		/* merge: replica[3].holder = 0(84, 70, 84) */
		reached[3][70] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[3].holder);
		now.replica[3].holder = 0;
#ifdef VAR_RANGES
		logval("replica[3].holder", ((int)now.replica[3].holder));
#endif
		;
		/* merge: replica[3].round = 0(84, 71, 84) */
		reached[3][71] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[3].round);
		now.replica[3].round = 0;
#ifdef VAR_RANGES
		logval("replica[3].round", ((int)now.replica[3].round));
#endif
		;
		/* merge: replica[3].promised = 0(84, 72, 84) */
		reached[3][72] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[3].promised);
		now.replica[3].promised = 0;
#ifdef VAR_RANGES
		logval("replica[3].promised", ((int)now.replica[3].promised));
#endif
		;
		/* merge: replica[3].to = 0(84, 73, 84) */
		reached[3][73] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[3].to);
		now.replica[3].to = 0;
#ifdef VAR_RANGES
		logval("replica[3].to", ((int)now.replica[3].to));
#endif
		;
		/* merge: replica[3].unsure = 0(84, 74, 84) */
		reached[3][74] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.replica[3].unsure);
		now.replica[3].unsure = 0;
#ifdef VAR_RANGES
		logval("replica[3].unsure", ((int)now.replica[3].unsure));
#endif
		;
		/* merge: replica[3].known[0] = 1(84, 75, 84) */
		reached[3][75] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.replica[3].known[0]);
		now.replica[3].known[0] = 1;
#ifdef VAR_RANGES
		logval("replica[3].known[0]", ((int)now.replica[3].known[0]));
#endif
		;
		/* merge: replica[3].known[1] = 1(84, 76, 84) */
		reached[3][76] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.replica[3].known[1]);
		now.replica[3].known[1] = 1;
#ifdef VAR_RANGES
		logval("replica[3].known[1]", ((int)now.replica[3].known[1]));
#endif
		;
		/* merge: replica[3].known[2] = 1(84, 77, 84) */
		reached[3][77] = 1;
		(trpt+1)->bup.ovals[9] = ((int)now.replica[3].known[2]);
		now.replica[3].known[2] = 1;
#ifdef VAR_RANGES
		logval("replica[3].known[2]", ((int)now.replica[3].known[2]));
#endif
		;
		/* merge: replica[3].known[3] = 1(84, 78, 84) */
		reached[3][78] = 1;
		(trpt+1)->bup.ovals[10] = ((int)now.replica[3].known[3]);
		now.replica[3].known[3] = 1;
#ifdef VAR_RANGES
		logval("replica[3].known[3]", ((int)now.replica[3].known[3]));
#endif
		;
		_m = 3; goto P999; /* 10 */
	case 11: // STATE 79 - ../../claim.pml:118 - [replica[3].source[0] = 0] (0:99:6 - 1)
		IfNotBlocked
		reached[3][79] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)now.replica[3].source[0]);
		now.replica[3].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[3].source[0]", ((int)now.replica[3].source[0]));
#endif
		;
		/* merge: replica[3].source[1] = 0(99, 80, 99) */
		reached[3][80] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.replica[3].source[1]);
		now.replica[3].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[3].source[1]", ((int)now.replica[3].source[1]));
#endif
		;
		/* merge: replica[3].source[2] = 0(99, 81, 99) */
		reached[3][81] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.replica[3].source[2]);
		now.replica[3].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[3].source[2]", ((int)now.replica[3].source[2]));
#endif
		;
		/* merge: replica[3].source[3] = 0(99, 82, 99) */
		reached[3][82] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.replica[3].source[3]);
		now.replica[3].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[3].source[3]", ((int)now.replica[3].source[3]));
#endif
		;
		/* merge: replica[3].sourceAble = 0(99, 83, 99) */
		reached[3][83] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.replica[3].sourceAble);
		now.replica[3].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[3].sourceAble", ((int)now.replica[3].sourceAble));
#endif
		;
		/* merge: replica[3].life = 1(99, 86, 99) */
		reached[3][86] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.replica[3].life);
		now.replica[3].life = 1;
#ifdef VAR_RANGES
		logval("replica[3].life", ((int)now.replica[3].life));
#endif
		;
		_m = 3; goto P999; /* 5 */
	case 12: // STATE 87 - ../../claim.pml:332 - [attempt[1].vote[0] = 0] (0:112:12 - 1)
		IfNotBlocked
		reached[3][87] = 1;
		(trpt+1)->bup.ovals = grab_ints(12);
		(trpt+1)->bup.ovals[0] = ((int)now.attempt[1].vote[0]);
		now.attempt[1].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].vote[0]", ((int)now.attempt[1].vote[0]));
#endif
		;
		/* merge: attempt[1].vote[1] = 0(112, 88, 112) */
		reached[3][88] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempt[1].vote[1]);
		now.attempt[1].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].vote[1]", ((int)now.attempt[1].vote[1]));
#endif
		;
		/* merge: attempt[1].vote[2] = 0(112, 89, 112) */
		reached[3][89] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.attempt[1].vote[2]);
		now.attempt[1].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].vote[2]", ((int)now.attempt[1].vote[2]));
#endif
		;
		/* merge: attempt[1].vote[3] = 0(112, 90, 112) */
		reached[3][90] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.attempt[1].vote[3]);
		now.attempt[1].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].vote[3]", ((int)now.attempt[1].vote[3]));
#endif
		;
		/* merge: attempt[1].known[0] = 1(112, 91, 112) */
		reached[3][91] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.attempt[1].known[0]);
		now.attempt[1].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[1].known[0]", ((int)now.attempt[1].known[0]));
#endif
		;
		/* merge: attempt[1].known[1] = 1(112, 92, 112) */
		reached[3][92] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.attempt[1].known[1]);
		now.attempt[1].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[1].known[1]", ((int)now.attempt[1].known[1]));
#endif
		;
		/* merge: attempt[1].known[2] = 1(112, 93, 112) */
		reached[3][93] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.attempt[1].known[2]);
		now.attempt[1].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[1].known[2]", ((int)now.attempt[1].known[2]));
#endif
		;
		/* merge: attempt[1].known[3] = 1(112, 94, 112) */
		reached[3][94] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.attempt[1].known[3]);
		now.attempt[1].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[1].known[3]", ((int)now.attempt[1].known[3]));
#endif
		;
		/* merge: attempt[1].voted[0] = 0(112, 95, 112) */
		reached[3][95] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.attempt[1].voted[0]);
		now.attempt[1].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].voted[0]", ((int)now.attempt[1].voted[0]));
#endif
		;
		/* merge: attempt[1].voted[1] = 0(112, 96, 112) */
		reached[3][96] = 1;
		(trpt+1)->bup.ovals[9] = ((int)now.attempt[1].voted[1]);
		now.attempt[1].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].voted[1]", ((int)now.attempt[1].voted[1]));
#endif
		;
		/* merge: attempt[1].voted[2] = 0(112, 97, 112) */
		reached[3][97] = 1;
		(trpt+1)->bup.ovals[10] = ((int)now.attempt[1].voted[2]);
		now.attempt[1].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].voted[2]", ((int)now.attempt[1].voted[2]));
#endif
		;
		/* merge: attempt[1].voted[3] = 0(112, 98, 112) */
		reached[3][98] = 1;
		(trpt+1)->bup.ovals[11] = ((int)now.attempt[1].voted[3]);
		now.attempt[1].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[1].voted[3]", ((int)now.attempt[1].voted[3]));
#endif
		;
		_m = 3; goto P999; /* 11 */
	case 13: // STATE 100 - ../../claim.pml:332 - [attempt[2].vote[0] = 0] (0:125:12 - 1)
		IfNotBlocked
		reached[3][100] = 1;
		(trpt+1)->bup.ovals = grab_ints(12);
		(trpt+1)->bup.ovals[0] = ((int)now.attempt[2].vote[0]);
		now.attempt[2].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].vote[0]", ((int)now.attempt[2].vote[0]));
#endif
		;
		/* merge: attempt[2].vote[1] = 0(125, 101, 125) */
		reached[3][101] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempt[2].vote[1]);
		now.attempt[2].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].vote[1]", ((int)now.attempt[2].vote[1]));
#endif
		;
		/* merge: attempt[2].vote[2] = 0(125, 102, 125) */
		reached[3][102] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.attempt[2].vote[2]);
		now.attempt[2].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].vote[2]", ((int)now.attempt[2].vote[2]));
#endif
		;
		/* merge: attempt[2].vote[3] = 0(125, 103, 125) */
		reached[3][103] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.attempt[2].vote[3]);
		now.attempt[2].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].vote[3]", ((int)now.attempt[2].vote[3]));
#endif
		;
		/* merge: attempt[2].known[0] = 1(125, 104, 125) */
		reached[3][104] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.attempt[2].known[0]);
		now.attempt[2].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[2].known[0]", ((int)now.attempt[2].known[0]));
#endif
		;
		/* merge: attempt[2].known[1] = 1(125, 105, 125) */
		reached[3][105] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.attempt[2].known[1]);
		now.attempt[2].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[2].known[1]", ((int)now.attempt[2].known[1]));
#endif
		;
		/* merge: attempt[2].known[2] = 1(125, 106, 125) */
		reached[3][106] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.attempt[2].known[2]);
		now.attempt[2].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[2].known[2]", ((int)now.attempt[2].known[2]));
#endif
		;
		/* merge: attempt[2].known[3] = 1(125, 107, 125) */
		reached[3][107] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.attempt[2].known[3]);
		now.attempt[2].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[2].known[3]", ((int)now.attempt[2].known[3]));
#endif
		;
		/* merge: attempt[2].voted[0] = 0(125, 108, 125) */
		reached[3][108] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.attempt[2].voted[0]);
		now.attempt[2].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].voted[0]", ((int)now.attempt[2].voted[0]));
#endif
		;
		/* merge: attempt[2].voted[1] = 0(125, 109, 125) */
		reached[3][109] = 1;
		(trpt+1)->bup.ovals[9] = ((int)now.attempt[2].voted[1]);
		now.attempt[2].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].voted[1]", ((int)now.attempt[2].voted[1]));
#endif
		;
		/* merge: attempt[2].voted[2] = 0(125, 110, 125) */
		reached[3][110] = 1;
		(trpt+1)->bup.ovals[10] = ((int)now.attempt[2].voted[2]);
		now.attempt[2].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].voted[2]", ((int)now.attempt[2].voted[2]));
#endif
		;
		/* merge: attempt[2].voted[3] = 0(125, 111, 125) */
		reached[3][111] = 1;
		(trpt+1)->bup.ovals[11] = ((int)now.attempt[2].voted[3]);
		now.attempt[2].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[2].voted[3]", ((int)now.attempt[2].voted[3]));
#endif
		;
		_m = 3; goto P999; /* 11 */
	case 14: // STATE 113 - ../../claim.pml:332 - [attempt[3].vote[0] = 0] (0:126:12 - 1)
		IfNotBlocked
		reached[3][113] = 1;
		(trpt+1)->bup.ovals = grab_ints(12);
		(trpt+1)->bup.ovals[0] = ((int)now.attempt[3].vote[0]);
		now.attempt[3].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].vote[0]", ((int)now.attempt[3].vote[0]));
#endif
		;
		/* merge: attempt[3].vote[1] = 0(126, 114, 126) */
		reached[3][114] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempt[3].vote[1]);
		now.attempt[3].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].vote[1]", ((int)now.attempt[3].vote[1]));
#endif
		;
		/* merge: attempt[3].vote[2] = 0(126, 115, 126) */
		reached[3][115] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.attempt[3].vote[2]);
		now.attempt[3].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].vote[2]", ((int)now.attempt[3].vote[2]));
#endif
		;
		/* merge: attempt[3].vote[3] = 0(126, 116, 126) */
		reached[3][116] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.attempt[3].vote[3]);
		now.attempt[3].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].vote[3]", ((int)now.attempt[3].vote[3]));
#endif
		;
		/* merge: attempt[3].known[0] = 1(126, 117, 126) */
		reached[3][117] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.attempt[3].known[0]);
		now.attempt[3].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[3].known[0]", ((int)now.attempt[3].known[0]));
#endif
		;
		/* merge: attempt[3].known[1] = 1(126, 118, 126) */
		reached[3][118] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.attempt[3].known[1]);
		now.attempt[3].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[3].known[1]", ((int)now.attempt[3].known[1]));
#endif
		;
		/* merge: attempt[3].known[2] = 1(126, 119, 126) */
		reached[3][119] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.attempt[3].known[2]);
		now.attempt[3].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[3].known[2]", ((int)now.attempt[3].known[2]));
#endif
		;
		/* merge: attempt[3].known[3] = 1(126, 120, 126) */
		reached[3][120] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.attempt[3].known[3]);
		now.attempt[3].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[3].known[3]", ((int)now.attempt[3].known[3]));
#endif
		;
		/* merge: attempt[3].voted[0] = 0(126, 121, 126) */
		reached[3][121] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.attempt[3].voted[0]);
		now.attempt[3].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].voted[0]", ((int)now.attempt[3].voted[0]));
#endif
		;
		/* merge: attempt[3].voted[1] = 0(126, 122, 126) */
		reached[3][122] = 1;
		(trpt+1)->bup.ovals[9] = ((int)now.attempt[3].voted[1]);
		now.attempt[3].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].voted[1]", ((int)now.attempt[3].voted[1]));
#endif
		;
		/* merge: attempt[3].voted[2] = 0(126, 123, 126) */
		reached[3][123] = 1;
		(trpt+1)->bup.ovals[10] = ((int)now.attempt[3].voted[2]);
		now.attempt[3].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].voted[2]", ((int)now.attempt[3].voted[2]));
#endif
		;
		/* merge: attempt[3].voted[3] = 0(126, 124, 126) */
		reached[3][124] = 1;
		(trpt+1)->bup.ovals[11] = ((int)now.attempt[3].voted[3]);
		now.attempt[3].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[3].voted[3]", ((int)now.attempt[3].voted[3]));
#endif
		;
		_m = 3; goto P999; /* 11 */
	case 15: // STATE 126 - ../../claim.pml:436 - [(run Node(0))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][126] = 1;
		if (!(addproc(II, 1, 0, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 16: // STATE 127 - ../../claim.pml:437 - [(run Node(1))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][127] = 1;
		if (!(addproc(II, 1, 0, 1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 17: // STATE 128 - ../../claim.pml:438 - [(run Node(2))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][128] = 1;
		if (!(addproc(II, 1, 0, 2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 18: // STATE 129 - ../../claim.pml:440 - [(change)] (0:0:0 - 1)
		IfNotBlocked
		reached[3][129] = 1;
		if (!(((int)change)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 19: // STATE 130 - ../../claim.pml:440 - [(run Node(3))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][130] = 1;
		if (!(addproc(II, 1, 0, 3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 20: // STATE 134 - ../../claim.pml:443 - [(run Coordinator(1))] (0:0:0 - 3)
		IfNotBlocked
		reached[3][134] = 1;
		if (!(addproc(II, 1, 1, 1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 21: // STATE 135 - ../../claim.pml:444 - [(run Coordinator(2))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][135] = 1;
		if (!(addproc(II, 1, 1, 2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 22: // STATE 136 - ../../claim.pml:446 - [((attempts>2))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][136] = 1;
		if (!((((int)attempts)>2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 23: // STATE 137 - ../../claim.pml:446 - [(run Coordinator(3))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][137] = 1;
		if (!(addproc(II, 1, 1, 3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 24: // STATE 141 - ../../claim.pml:449 - [(run Configuration())] (0:0:0 - 1)
		IfNotBlocked
		reached[3][141] = 1;
		if (!(addproc(II, 1, 2, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 25: // STATE 143 - ../../claim.pml:451 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[3][143] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Configuration */
	case 26: // STATE 3 - ../../claim.pml:404 - [D_STEP404]
		if (!(boq == -1 && (((int)change)&& !(((int)now.published)))))
			continue;

		reached[2][3] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_1020_0: /* 2 */
		if (!((((int)change)&& !(((int)now.published)))))
			Uerror("block in d_step seq");
S_1021_0: /* 2 */
		now.published = 1;
#ifdef VAR_RANGES
		logval("published", ((int)now.published));
#endif
		;
		goto S_1027_0;
S_1027_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 27: // STATE 6 - ../../claim.pml:405 - [D_STEP405]
		if (!(boq == -1 && (((((((int)now.published)&& !(((int)now.settled)))&&(((((int)now.replica[0].latest)+((int)now.replica[1].latest))+((int)now.replica[2].latest))>=2))&&((((int)now.attempt[1].latest)||(((int)now.attempt[1].phase)==0))||(((int)now.attempt[1].phase)==5)))&&((((int)now.attempt[2].latest)||(((int)now.attempt[2].phase)==0))||(((int)now.attempt[2].phase)==5)))&&((((int)now.attempt[3].latest)||(((int)now.attempt[3].phase)==0))||(((int)now.attempt[3].phase)==5)))))
			continue;

		reached[2][6] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_1023_0: /* 2 */
		if (!((((((((int)now.published)&& !(((int)now.settled)))&&(((((int)now.replica[0].latest)+((int)now.replica[1].latest))+((int)now.replica[2].latest))>=2))&&((((int)now.attempt[1].latest)||(((int)now.attempt[1].phase)==0))||(((int)now.attempt[1].phase)==5)))&&((((int)now.attempt[2].latest)||(((int)now.attempt[2].phase)==0))||(((int)now.attempt[2].phase)==5)))&&((((int)now.attempt[3].latest)||(((int)now.attempt[3].phase)==0))||(((int)now.attempt[3].phase)==5)))))
			Uerror("block in d_step seq");
S_1024_0: /* 2 */
		now.settled = 1;
#ifdef VAR_RANGES
		logval("settled", ((int)now.settled));
#endif
		;
		goto S_1027_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 28: // STATE 10 - ../../claim.pml:407 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[2][10] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Coordinator */
	case 29: // STATE 19 - ../../claim.pml:385 - [D_STEP385]
		if (!(boq == -1 && ((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==0)&& !((((int)split)&&(((int)((P1 *)_this)->self)==2))))))
			continue;

		reached[1][19] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_864_0: /* 2 */
		if (!(((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==0)&& !((((int)split)&&(((int)((P1 *)_this)->self)==2))))))
			Uerror("block in d_step seq");
S_881_0: /* 2 */
S_877_0: /* 2 */
S_865_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_866_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_867_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_868_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_869_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_870_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_871_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_872_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_873_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_874_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_875_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_876_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_878_0;
S_878_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 2;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
S_879_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].round", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round));
#endif
		;
S_880_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].prepared = (((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].prepared)|(1<<0));
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].prepared", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].prepared));
#endif
		;
		goto S_1017_0;
S_1017_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 30: // STATE 39 - ../../claim.pml:386 - [D_STEP386]
		if (!(boq == -1 && (((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==0)&&((int)now.published))&& !((((int)split)&&(((int)((P1 *)_this)->self)==1))))))
			continue;

		reached[1][39] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_883_0: /* 2 */
		if (!((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==0)&&((int)now.published))&& !((((int)split)&&(((int)((P1 *)_this)->self)==1))))))
			Uerror("block in d_step seq");
S_884_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].latest = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].latest", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest));
#endif
		;
S_901_0: /* 2 */
S_897_0: /* 2 */
S_885_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_886_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_887_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_888_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_889_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_890_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_891_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_892_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_893_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_894_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_895_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_896_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_898_0;
S_898_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 2;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
S_899_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].round", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round));
#endif
		;
S_900_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].prepared = (((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].prepared)|(1<<0));
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].prepared", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].prepared));
#endif
		;
		goto S_1017_0; /* ';' */
		goto S_1017_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 31: // STATE 58 - ../../claim.pml:387 - [D_STEP387]
		if (!(boq == -1 && (((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==1)||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==2))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round)<((int)maxRound)))))
			continue;

		reached[1][58] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_903_0: /* 2 */
		if (!((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==1)||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==2))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round)<((int)maxRound)))))
			Uerror("block in d_step seq");
S_920_0: /* 2 */
S_916_0: /* 2 */
S_904_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_905_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_906_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_907_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_908_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_909_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_910_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_911_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_912_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_913_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_914_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_915_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_917_0;
S_917_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
S_918_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].round = (((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round)+1);
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].round", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round));
#endif
		;
S_919_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].sought = (((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].sought)|(1<<((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round)));
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].sought", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].sought));
#endif
		;
		goto S_1017_0; /* ';' */
		goto S_1017_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 32: // STATE 77 - ../../claim.pml:388 - [D_STEP388]
		if (!(boq == -1 && (((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==1)&&(( !(( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3))))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))&&( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))))&& !(((((int)mutant)!=9)&&(((((((( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3)))&&((((((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==1))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1)))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1)))>0))&&(((((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==1)))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1))))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1))))>=2))||((( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3)))&&((((((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==2))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2)))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2)))>0))&&(((((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==2)))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2))))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2))))>=2)))||((( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3)))&&((((((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==3))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3)))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3)))>0))&&(((((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==3)))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3))))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3))))>=2)))||((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest)&&((((((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1)))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==1)))>0))&&(((((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1)))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1))))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==1))))>=2)))||((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest)&&((((((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2)))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==2)))>0))&&(((((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2)))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2))))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==2))))>=2)))||((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest)&&((((((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3)))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==3)))>0))&&(((((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3)))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3))))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==3))))>=2))))))))
			continue;

		reached[1][77] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_922_0: /* 2 */
		if (!((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==1)&&(( !(( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3))))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))&&( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))))&& !(((((int)mutant)!=9)&&(((((((( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3)))&&((((((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==1))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1)))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1)))>0))&&(((((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==1)))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1))))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1))))>=2))||((( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3)))&&((((((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==2))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2)))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2)))>0))&&(((((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==2)))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2))))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2))))>=2)))||((( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3)))&&((((((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==3))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3)))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3)))>0))&&(((((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0])==3)))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3))))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3))))>=2)))||((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest)&&((((((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1)))+(((1!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==1)))>0))&&(((((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==1)))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==1))))+((1!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==1))))>=2)))||((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest)&&((((((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2)))+(((2!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==2)))>0))&&(((((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==2)))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==2))))+((2!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==2))))>=2)))||((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest)&&((((((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3)))+(((3!=((int)((P1 *)_this)->self))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==3)))>0))&&(((((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1])==3)))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2])==3))))+((3!=((int)((P1 *)_this)->self))&&( !((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5))))||( !((((int)mutant)!=13))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0))))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3])==3))))>=2))))))))
			Uerror("block in d_step seq");
S_939_0: /* 2 */
S_935_0: /* 2 */
S_923_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_924_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_925_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_926_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_927_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_928_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_929_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_930_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_931_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_932_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_933_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_934_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_936_0;
S_936_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 2;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
S_937_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].round = ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round);
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].round", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round));
#endif
		;
S_938_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].prepared = (((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].prepared)|(1<<((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round)));
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].prepared", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].prepared));
#endif
		;
		goto S_1017_0; /* ';' */
		goto S_1017_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 33: // STATE 93 - ../../claim.pml:389 - [D_STEP389]
		if (!(boq == -1 && ((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==2)&&(( !(( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3))))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))&&( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))))))
			continue;

		reached[1][93] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_941_0: /* 2 */
		if (!(((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==2)&&(( !(( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||( !(((int)now.settled))&&(((int)mutant)!=3))))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))&&( !(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].latest))||(((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]))|| !((((int)mutant)!=5))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]))|| !((((int)mutant)!=5)))))+((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])!=0)&&((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3])>=((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]))|| !((((int)mutant)!=5)))))>=( ((((int)mutant)!=2)) ? (2) : (1) )))))))
			Uerror("block in d_step seq");
S_954_0: /* 2 */
S_942_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_943_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_944_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_945_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_946_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_947_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_948_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_949_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_950_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_951_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_952_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_953_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_955_0;
S_955_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 3;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
		goto S_1017_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 34: // STATE 114 - ../../claim.pml:390 - [D_STEP390]
		if (!(boq == -1 && (((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==3)))
			continue;

		reached[1][114] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_957_0: /* 2 */
		if (!((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==3)))
			Uerror("block in d_step seq");
S_976_0: /* 2 */
S_958_0: /* 2 */
		spin_assert(( !(((((((int)witness)==1)&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round)>0))||(((((int)witness)==2)&&((int)now.settled))&&(((int)now.replica[3].holder)==((int)((P1 *)_this)->self))))||(((((int)witness)==3)&&(((int)now.replica[0].life)>1))&&(((int)now.replica[0].holder)==((int)((P1 *)_this)->self)))))||((int)witness_found)), "( !(((((witness==1)&&(attempt[self].round>0))||(((witness==2)&&settled)&&(replica[3].holder==self)))||(((witness==3)&&(replica[0].life>1))&&(replica[0].holder==self))))||witness_found)", II, tt, t);
S_959_0: /* 2 */
		spin_assert(((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)!=5)||((int)ran_after_refusal)), "((attempt[self].phase!=5)||ran_after_refusal)", II, tt, t);
S_960_0: /* 2 */
		spin_assert(((((int)now.runs)==0)||((int)ran_twice)), "((runs==0)||ran_twice)", II, tt, t);
S_961_0: /* 2 */
		now.runs = (((int)now.runs)+1);
#ifdef VAR_RANGES
		logval("runs", ((int)now.runs));
#endif
		;
S_974_0: /* 2 */
S_962_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_963_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_964_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_965_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_966_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_967_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_968_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_969_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_970_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_971_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_972_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_973_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_975_0;
S_975_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 4;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
		goto S_1017_0; /* ';' */
		goto S_1017_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 35: // STATE 131 - ../../claim.pml:391 - [D_STEP391]
		if (!(boq == -1 && (((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==1)||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==2))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==3))))
			continue;

		reached[1][131] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_978_0: /* 2 */
		if (!((((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==1)||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==2))||(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==3))))
			Uerror("block in d_step seq");
S_993_0: /* 2 */
S_991_0: /* 2 */
S_979_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_980_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_981_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_982_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_983_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_984_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_985_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_986_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_987_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_988_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_989_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_990_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_992_0;
S_992_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 5;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
		goto S_1017_0; /* ';' */
		goto S_1017_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 36: // STATE 152 - ../../claim.pml:392 - [D_STEP392]
		if (!(boq == -1 && ( !((((int)mutant)!=4))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==5))))
			continue;

		reached[1][152] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_995_0: /* 2 */
		if (!(( !((((int)mutant)!=4))&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)==5))))
			Uerror("block in d_step seq");
S_1014_0: /* 2 */
S_996_0: /* 2 */
		spin_assert(( !(((((((int)witness)==1)&&(((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].round)>0))||(((((int)witness)==2)&&((int)now.settled))&&(((int)now.replica[3].holder)==((int)((P1 *)_this)->self))))||(((((int)witness)==3)&&(((int)now.replica[0].life)>1))&&(((int)now.replica[0].holder)==((int)((P1 *)_this)->self)))))||((int)witness_found)), "( !(((((witness==1)&&(attempt[self].round>0))||(((witness==2)&&settled)&&(replica[3].holder==self)))||(((witness==3)&&(replica[0].life>1))&&(replica[0].holder==self))))||witness_found)", II, tt, t);
S_997_0: /* 2 */
		spin_assert(((((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase)!=5)||((int)ran_after_refusal)), "((attempt[self].phase!=5)||ran_after_refusal)", II, tt, t);
S_998_0: /* 2 */
		spin_assert(((((int)now.runs)==0)||((int)ran_twice)), "((runs==0)||ran_twice)", II, tt, t);
S_999_0: /* 2 */
		now.runs = (((int)now.runs)+1);
#ifdef VAR_RANGES
		logval("runs", ((int)now.runs));
#endif
		;
S_1012_0: /* 2 */
S_1000_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[0]));
#endif
		;
S_1001_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[1]));
#endif
		;
S_1002_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[2]));
#endif
		;
S_1003_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].vote[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].vote[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].vote[3]));
#endif
		;
S_1004_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[0]));
#endif
		;
S_1005_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[1]));
#endif
		;
S_1006_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[2]));
#endif
		;
S_1007_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].known[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].known[3]));
#endif
		;
S_1008_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[0] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[0]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[0]));
#endif
		;
S_1009_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[1] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[1]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[1]));
#endif
		;
S_1010_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[2] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[2]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[2]));
#endif
		;
S_1011_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].voted[3] = 0;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].voted[3]", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].voted[3]));
#endif
		;
		goto S_1013_0;
S_1013_0: /* 2 */
		now.attempt[ Index(((P1 *)_this)->self, 4) ].phase = 4;
#ifdef VAR_RANGES
		logval("attempt[Coordinator:self].phase", ((int)now.attempt[ Index(((int)((P1 *)_this)->self), 4) ].phase));
#endif
		;
		goto S_1017_0; /* ';' */
		goto S_1017_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 37: // STATE 156 - ../../claim.pml:394 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[1][156] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Node */
	case 38: // STATE 37 - ../../claim.pml:289 - [D_STEP289]
		if (!(boq == -1 && (((((((int)now.attempt[1].prepared)&(1<<0))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((0<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((0==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(0!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((0==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))||(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==0))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][37] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_000_0: /* 2 */
		if (!((((((((int)now.attempt[1].prepared)&(1<<0))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((0<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((0==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(0!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((0==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))||(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==0))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_035_0: /* 2 */
S_001_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_002_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_003_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_004_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ( ((0==0)) ? (0) : (1) );
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_033_0: /* 2 */
S_005_0: /* 2 */
		if (!(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==0))))
			goto S_033_1;
S_031_0: /* 2 */
S_006_0: /* 2 */
		now.attempt[1].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[1].vote[Node:self]", ((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_012_0: /* 2 */
S_010_0: /* 2 */
S_007_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[1].known[0]))))
			goto S_010_1;
S_008_0: /* 2 */
		now.attempt[1].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[1].known[0]", ((int)now.attempt[1].known[0]));
#endif
		;
		goto S_011_0;
S_010_1: /* 3 */
S_009_0: /* 2 */
		/* else */;
		goto S_011_0;
S_010_2: /* 3 */
		Uerror("blocking sel in d_step (nr.0, near line 154)");
S_011_0: /* 2 */
		goto S_018_0;
S_018_0: /* 2 */
S_016_0: /* 2 */
S_013_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[1].known[1]))))
			goto S_016_1;
S_014_0: /* 2 */
		now.attempt[1].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[1].known[1]", ((int)now.attempt[1].known[1]));
#endif
		;
		goto S_017_0;
S_016_1: /* 3 */
S_015_0: /* 2 */
		/* else */;
		goto S_017_0;
S_016_2: /* 3 */
		Uerror("blocking sel in d_step (nr.1, near line 154)");
S_017_0: /* 2 */
		goto S_024_0;
S_024_0: /* 2 */
S_022_0: /* 2 */
S_019_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[1].known[2]))))
			goto S_022_1;
S_020_0: /* 2 */
		now.attempt[1].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[1].known[2]", ((int)now.attempt[1].known[2]));
#endif
		;
		goto S_023_0;
S_022_1: /* 3 */
S_021_0: /* 2 */
		/* else */;
		goto S_023_0;
S_022_2: /* 3 */
		Uerror("blocking sel in d_step (nr.2, near line 154)");
S_023_0: /* 2 */
		goto S_030_0;
S_030_0: /* 2 */
S_028_0: /* 2 */
S_025_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[1].known[3]))))
			goto S_028_1;
S_026_0: /* 2 */
		now.attempt[1].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[1].known[3]", ((int)now.attempt[1].known[3]));
#endif
		;
		goto S_029_0;
S_028_1: /* 3 */
S_027_0: /* 2 */
		/* else */;
		goto S_029_0;
S_028_2: /* 3 */
		Uerror("blocking sel in d_step (nr.3, near line 154)");
S_029_0: /* 2 */
		goto S_034_0;
S_033_1: /* 3 */
S_032_0: /* 2 */
		/* else */;
		goto S_034_0;
S_033_2: /* 3 */
		Uerror("blocking sel in d_step (nr.4, near line 247)");
S_034_0: /* 2 */
		goto S_861_0;
S_861_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 39: // STATE 74 - ../../claim.pml:290 - [D_STEP290]
		if (!(boq == -1 && (((((((int)now.attempt[2].prepared)&(1<<0))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((0<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((0==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(0!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((0==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))||(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==0))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][74] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_037_0: /* 2 */
		if (!((((((((int)now.attempt[2].prepared)&(1<<0))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((0<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((0==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(0!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((0==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))||(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==0))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_072_0: /* 2 */
S_038_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_039_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_040_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_041_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ( ((0==0)) ? (0) : (2) );
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_070_0: /* 2 */
S_042_0: /* 2 */
		if (!(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==0))))
			goto S_070_1;
S_068_0: /* 2 */
S_043_0: /* 2 */
		now.attempt[2].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[2].vote[Node:self]", ((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_049_0: /* 2 */
S_047_0: /* 2 */
S_044_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[2].known[0]))))
			goto S_047_1;
S_045_0: /* 2 */
		now.attempt[2].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[2].known[0]", ((int)now.attempt[2].known[0]));
#endif
		;
		goto S_048_0;
S_047_1: /* 3 */
S_046_0: /* 2 */
		/* else */;
		goto S_048_0;
S_047_2: /* 3 */
		Uerror("blocking sel in d_step (nr.5, near line 154)");
S_048_0: /* 2 */
		goto S_055_0;
S_055_0: /* 2 */
S_053_0: /* 2 */
S_050_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[2].known[1]))))
			goto S_053_1;
S_051_0: /* 2 */
		now.attempt[2].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[2].known[1]", ((int)now.attempt[2].known[1]));
#endif
		;
		goto S_054_0;
S_053_1: /* 3 */
S_052_0: /* 2 */
		/* else */;
		goto S_054_0;
S_053_2: /* 3 */
		Uerror("blocking sel in d_step (nr.6, near line 154)");
S_054_0: /* 2 */
		goto S_061_0;
S_061_0: /* 2 */
S_059_0: /* 2 */
S_056_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[2].known[2]))))
			goto S_059_1;
S_057_0: /* 2 */
		now.attempt[2].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[2].known[2]", ((int)now.attempt[2].known[2]));
#endif
		;
		goto S_060_0;
S_059_1: /* 3 */
S_058_0: /* 2 */
		/* else */;
		goto S_060_0;
S_059_2: /* 3 */
		Uerror("blocking sel in d_step (nr.7, near line 154)");
S_060_0: /* 2 */
		goto S_067_0;
S_067_0: /* 2 */
S_065_0: /* 2 */
S_062_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[2].known[3]))))
			goto S_065_1;
S_063_0: /* 2 */
		now.attempt[2].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[2].known[3]", ((int)now.attempt[2].known[3]));
#endif
		;
		goto S_066_0;
S_065_1: /* 3 */
S_064_0: /* 2 */
		/* else */;
		goto S_066_0;
S_065_2: /* 3 */
		Uerror("blocking sel in d_step (nr.8, near line 154)");
S_066_0: /* 2 */
		goto S_071_0;
S_070_1: /* 3 */
S_069_0: /* 2 */
		/* else */;
		goto S_071_0;
S_070_2: /* 3 */
		Uerror("blocking sel in d_step (nr.9, near line 247)");
S_071_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 40: // STATE 111 - ../../claim.pml:291 - [D_STEP291]
		if (!(boq == -1 && (((((((int)now.attempt[3].prepared)&(1<<0))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[3].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[3].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((0<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((0==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(0!=0))&&(3<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((0==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=3))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=3)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))||(((((int)now.attempt[3].phase)==2)&&(((int)now.attempt[3].round)==0))&&(((int)now.attempt[3].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][111] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_074_0: /* 2 */
		if (!((((((((int)now.attempt[3].prepared)&(1<<0))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[3].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[3].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((0<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((0==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(0!=0))&&(3<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((0==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=3))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=3)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))||(((((int)now.attempt[3].phase)==2)&&(((int)now.attempt[3].round)==0))&&(((int)now.attempt[3].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_109_0: /* 2 */
S_075_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 3;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_076_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_077_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_078_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ( ((0==0)) ? (0) : (3) );
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_107_0: /* 2 */
S_079_0: /* 2 */
		if (!(((((int)now.attempt[3].phase)==2)&&(((int)now.attempt[3].round)==0))))
			goto S_107_1;
S_105_0: /* 2 */
S_080_0: /* 2 */
		now.attempt[3].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[3].vote[Node:self]", ((int)now.attempt[3].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_086_0: /* 2 */
S_084_0: /* 2 */
S_081_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[3].known[0]))))
			goto S_084_1;
S_082_0: /* 2 */
		now.attempt[3].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[3].known[0]", ((int)now.attempt[3].known[0]));
#endif
		;
		goto S_085_0;
S_084_1: /* 3 */
S_083_0: /* 2 */
		/* else */;
		goto S_085_0;
S_084_2: /* 3 */
		Uerror("blocking sel in d_step (nr.10, near line 154)");
S_085_0: /* 2 */
		goto S_092_0;
S_092_0: /* 2 */
S_090_0: /* 2 */
S_087_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[3].known[1]))))
			goto S_090_1;
S_088_0: /* 2 */
		now.attempt[3].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[3].known[1]", ((int)now.attempt[3].known[1]));
#endif
		;
		goto S_091_0;
S_090_1: /* 3 */
S_089_0: /* 2 */
		/* else */;
		goto S_091_0;
S_090_2: /* 3 */
		Uerror("blocking sel in d_step (nr.11, near line 154)");
S_091_0: /* 2 */
		goto S_098_0;
S_098_0: /* 2 */
S_096_0: /* 2 */
S_093_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[3].known[2]))))
			goto S_096_1;
S_094_0: /* 2 */
		now.attempt[3].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[3].known[2]", ((int)now.attempt[3].known[2]));
#endif
		;
		goto S_097_0;
S_096_1: /* 3 */
S_095_0: /* 2 */
		/* else */;
		goto S_097_0;
S_096_2: /* 3 */
		Uerror("blocking sel in d_step (nr.12, near line 154)");
S_097_0: /* 2 */
		goto S_104_0;
S_104_0: /* 2 */
S_102_0: /* 2 */
S_099_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[3].known[3]))))
			goto S_102_1;
S_100_0: /* 2 */
		now.attempt[3].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[3].known[3]", ((int)now.attempt[3].known[3]));
#endif
		;
		goto S_103_0;
S_102_1: /* 3 */
S_101_0: /* 2 */
		/* else */;
		goto S_103_0;
S_102_2: /* 3 */
		Uerror("blocking sel in d_step (nr.13, near line 154)");
S_103_0: /* 2 */
		goto S_108_0;
S_107_1: /* 3 */
S_106_0: /* 2 */
		/* else */;
		goto S_108_0;
S_107_2: /* 3 */
		Uerror("blocking sel in d_step (nr.14, near line 247)");
S_108_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 41: // STATE 148 - ../../claim.pml:292 - [D_STEP292]
		if (!(boq == -1 && (((((((int)now.attempt[1].prepared)&(1<<1))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((1==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=1))||(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==1))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][148] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_111_0: /* 2 */
		if (!((((((((int)now.attempt[1].prepared)&(1<<1))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((1==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=1))||(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==1))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_146_0: /* 2 */
S_112_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_113_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_114_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_115_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ( ((1==0)) ? (0) : (1) );
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_144_0: /* 2 */
S_116_0: /* 2 */
		if (!(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==1))))
			goto S_144_1;
S_142_0: /* 2 */
S_117_0: /* 2 */
		now.attempt[1].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[1].vote[Node:self]", ((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_123_0: /* 2 */
S_121_0: /* 2 */
S_118_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[1].known[0]))))
			goto S_121_1;
S_119_0: /* 2 */
		now.attempt[1].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[1].known[0]", ((int)now.attempt[1].known[0]));
#endif
		;
		goto S_122_0;
S_121_1: /* 3 */
S_120_0: /* 2 */
		/* else */;
		goto S_122_0;
S_121_2: /* 3 */
		Uerror("blocking sel in d_step (nr.15, near line 154)");
S_122_0: /* 2 */
		goto S_129_0;
S_129_0: /* 2 */
S_127_0: /* 2 */
S_124_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[1].known[1]))))
			goto S_127_1;
S_125_0: /* 2 */
		now.attempt[1].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[1].known[1]", ((int)now.attempt[1].known[1]));
#endif
		;
		goto S_128_0;
S_127_1: /* 3 */
S_126_0: /* 2 */
		/* else */;
		goto S_128_0;
S_127_2: /* 3 */
		Uerror("blocking sel in d_step (nr.16, near line 154)");
S_128_0: /* 2 */
		goto S_135_0;
S_135_0: /* 2 */
S_133_0: /* 2 */
S_130_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[1].known[2]))))
			goto S_133_1;
S_131_0: /* 2 */
		now.attempt[1].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[1].known[2]", ((int)now.attempt[1].known[2]));
#endif
		;
		goto S_134_0;
S_133_1: /* 3 */
S_132_0: /* 2 */
		/* else */;
		goto S_134_0;
S_133_2: /* 3 */
		Uerror("blocking sel in d_step (nr.17, near line 154)");
S_134_0: /* 2 */
		goto S_141_0;
S_141_0: /* 2 */
S_139_0: /* 2 */
S_136_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[1].known[3]))))
			goto S_139_1;
S_137_0: /* 2 */
		now.attempt[1].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[1].known[3]", ((int)now.attempt[1].known[3]));
#endif
		;
		goto S_140_0;
S_139_1: /* 3 */
S_138_0: /* 2 */
		/* else */;
		goto S_140_0;
S_139_2: /* 3 */
		Uerror("blocking sel in d_step (nr.18, near line 154)");
S_140_0: /* 2 */
		goto S_145_0;
S_144_1: /* 3 */
S_143_0: /* 2 */
		/* else */;
		goto S_145_0;
S_144_2: /* 3 */
		Uerror("blocking sel in d_step (nr.19, near line 247)");
S_145_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 42: // STATE 185 - ../../claim.pml:293 - [D_STEP293]
		if (!(boq == -1 && (((((((int)now.attempt[2].prepared)&(1<<1))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((1==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=1))||(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==1))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][185] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_148_0: /* 2 */
		if (!((((((((int)now.attempt[2].prepared)&(1<<1))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((1==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=1))||(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==1))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_183_0: /* 2 */
S_149_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_150_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_151_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_152_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ( ((1==0)) ? (0) : (2) );
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_181_0: /* 2 */
S_153_0: /* 2 */
		if (!(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==1))))
			goto S_181_1;
S_179_0: /* 2 */
S_154_0: /* 2 */
		now.attempt[2].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[2].vote[Node:self]", ((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_160_0: /* 2 */
S_158_0: /* 2 */
S_155_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[2].known[0]))))
			goto S_158_1;
S_156_0: /* 2 */
		now.attempt[2].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[2].known[0]", ((int)now.attempt[2].known[0]));
#endif
		;
		goto S_159_0;
S_158_1: /* 3 */
S_157_0: /* 2 */
		/* else */;
		goto S_159_0;
S_158_2: /* 3 */
		Uerror("blocking sel in d_step (nr.20, near line 154)");
S_159_0: /* 2 */
		goto S_166_0;
S_166_0: /* 2 */
S_164_0: /* 2 */
S_161_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[2].known[1]))))
			goto S_164_1;
S_162_0: /* 2 */
		now.attempt[2].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[2].known[1]", ((int)now.attempt[2].known[1]));
#endif
		;
		goto S_165_0;
S_164_1: /* 3 */
S_163_0: /* 2 */
		/* else */;
		goto S_165_0;
S_164_2: /* 3 */
		Uerror("blocking sel in d_step (nr.21, near line 154)");
S_165_0: /* 2 */
		goto S_172_0;
S_172_0: /* 2 */
S_170_0: /* 2 */
S_167_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[2].known[2]))))
			goto S_170_1;
S_168_0: /* 2 */
		now.attempt[2].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[2].known[2]", ((int)now.attempt[2].known[2]));
#endif
		;
		goto S_171_0;
S_170_1: /* 3 */
S_169_0: /* 2 */
		/* else */;
		goto S_171_0;
S_170_2: /* 3 */
		Uerror("blocking sel in d_step (nr.22, near line 154)");
S_171_0: /* 2 */
		goto S_178_0;
S_178_0: /* 2 */
S_176_0: /* 2 */
S_173_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[2].known[3]))))
			goto S_176_1;
S_174_0: /* 2 */
		now.attempt[2].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[2].known[3]", ((int)now.attempt[2].known[3]));
#endif
		;
		goto S_177_0;
S_176_1: /* 3 */
S_175_0: /* 2 */
		/* else */;
		goto S_177_0;
S_176_2: /* 3 */
		Uerror("blocking sel in d_step (nr.23, near line 154)");
S_177_0: /* 2 */
		goto S_182_0;
S_181_1: /* 3 */
S_180_0: /* 2 */
		/* else */;
		goto S_182_0;
S_181_2: /* 3 */
		Uerror("blocking sel in d_step (nr.24, near line 247)");
S_182_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 43: // STATE 222 - ../../claim.pml:294 - [D_STEP294]
		if (!(boq == -1 && (((((((int)now.attempt[1].prepared)&(1<<2))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((2==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=2))||(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==2))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][222] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_185_0: /* 2 */
		if (!((((((((int)now.attempt[1].prepared)&(1<<2))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((2==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=2))||(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==2))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_220_0: /* 2 */
S_186_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_187_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_188_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_189_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ( ((2==0)) ? (0) : (1) );
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_218_0: /* 2 */
S_190_0: /* 2 */
		if (!(((((int)now.attempt[1].phase)==2)&&(((int)now.attempt[1].round)==2))))
			goto S_218_1;
S_216_0: /* 2 */
S_191_0: /* 2 */
		now.attempt[1].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[1].vote[Node:self]", ((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_197_0: /* 2 */
S_195_0: /* 2 */
S_192_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[1].known[0]))))
			goto S_195_1;
S_193_0: /* 2 */
		now.attempt[1].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[1].known[0]", ((int)now.attempt[1].known[0]));
#endif
		;
		goto S_196_0;
S_195_1: /* 3 */
S_194_0: /* 2 */
		/* else */;
		goto S_196_0;
S_195_2: /* 3 */
		Uerror("blocking sel in d_step (nr.25, near line 154)");
S_196_0: /* 2 */
		goto S_203_0;
S_203_0: /* 2 */
S_201_0: /* 2 */
S_198_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[1].known[1]))))
			goto S_201_1;
S_199_0: /* 2 */
		now.attempt[1].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[1].known[1]", ((int)now.attempt[1].known[1]));
#endif
		;
		goto S_202_0;
S_201_1: /* 3 */
S_200_0: /* 2 */
		/* else */;
		goto S_202_0;
S_201_2: /* 3 */
		Uerror("blocking sel in d_step (nr.26, near line 154)");
S_202_0: /* 2 */
		goto S_209_0;
S_209_0: /* 2 */
S_207_0: /* 2 */
S_204_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[1].known[2]))))
			goto S_207_1;
S_205_0: /* 2 */
		now.attempt[1].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[1].known[2]", ((int)now.attempt[1].known[2]));
#endif
		;
		goto S_208_0;
S_207_1: /* 3 */
S_206_0: /* 2 */
		/* else */;
		goto S_208_0;
S_207_2: /* 3 */
		Uerror("blocking sel in d_step (nr.27, near line 154)");
S_208_0: /* 2 */
		goto S_215_0;
S_215_0: /* 2 */
S_213_0: /* 2 */
S_210_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[1].known[3]))))
			goto S_213_1;
S_211_0: /* 2 */
		now.attempt[1].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[1].known[3]", ((int)now.attempt[1].known[3]));
#endif
		;
		goto S_214_0;
S_213_1: /* 3 */
S_212_0: /* 2 */
		/* else */;
		goto S_214_0;
S_213_2: /* 3 */
		Uerror("blocking sel in d_step (nr.28, near line 154)");
S_214_0: /* 2 */
		goto S_219_0;
S_218_1: /* 3 */
S_217_0: /* 2 */
		/* else */;
		goto S_219_0;
S_218_2: /* 3 */
		Uerror("blocking sel in d_step (nr.29, near line 247)");
S_219_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 44: // STATE 259 - ../../claim.pml:295 - [D_STEP295]
		if (!(boq == -1 && (((((((int)now.attempt[2].prepared)&(1<<2))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((2==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=2))||(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==2))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][259] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_222_0: /* 2 */
		if (!((((((((int)now.attempt[2].prepared)&(1<<2))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&& !(((((2==0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2))&&(((int)mutant)!=12))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=2))||(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==2))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_257_0: /* 2 */
S_223_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_224_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_225_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_226_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ( ((2==0)) ? (0) : (2) );
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_255_0: /* 2 */
S_227_0: /* 2 */
		if (!(((((int)now.attempt[2].phase)==2)&&(((int)now.attempt[2].round)==2))))
			goto S_255_1;
S_253_0: /* 2 */
S_228_0: /* 2 */
		now.attempt[2].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[2].vote[Node:self]", ((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_234_0: /* 2 */
S_232_0: /* 2 */
S_229_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[2].known[0]))))
			goto S_232_1;
S_230_0: /* 2 */
		now.attempt[2].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[2].known[0]", ((int)now.attempt[2].known[0]));
#endif
		;
		goto S_233_0;
S_232_1: /* 3 */
S_231_0: /* 2 */
		/* else */;
		goto S_233_0;
S_232_2: /* 3 */
		Uerror("blocking sel in d_step (nr.30, near line 154)");
S_233_0: /* 2 */
		goto S_240_0;
S_240_0: /* 2 */
S_238_0: /* 2 */
S_235_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[2].known[1]))))
			goto S_238_1;
S_236_0: /* 2 */
		now.attempt[2].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[2].known[1]", ((int)now.attempt[2].known[1]));
#endif
		;
		goto S_239_0;
S_238_1: /* 3 */
S_237_0: /* 2 */
		/* else */;
		goto S_239_0;
S_238_2: /* 3 */
		Uerror("blocking sel in d_step (nr.31, near line 154)");
S_239_0: /* 2 */
		goto S_246_0;
S_246_0: /* 2 */
S_244_0: /* 2 */
S_241_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[2].known[2]))))
			goto S_244_1;
S_242_0: /* 2 */
		now.attempt[2].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[2].known[2]", ((int)now.attempt[2].known[2]));
#endif
		;
		goto S_245_0;
S_244_1: /* 3 */
S_243_0: /* 2 */
		/* else */;
		goto S_245_0;
S_244_2: /* 3 */
		Uerror("blocking sel in d_step (nr.32, near line 154)");
S_245_0: /* 2 */
		goto S_252_0;
S_252_0: /* 2 */
S_250_0: /* 2 */
S_247_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[2].known[3]))))
			goto S_250_1;
S_248_0: /* 2 */
		now.attempt[2].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[2].known[3]", ((int)now.attempt[2].known[3]));
#endif
		;
		goto S_251_0;
S_250_1: /* 3 */
S_249_0: /* 2 */
		/* else */;
		goto S_251_0;
S_250_2: /* 3 */
		Uerror("blocking sel in d_step (nr.33, near line 154)");
S_251_0: /* 2 */
		goto S_256_0;
S_255_1: /* 3 */
S_254_0: /* 2 */
		/* else */;
		goto S_256_0;
S_255_2: /* 3 */
		Uerror("blocking sel in d_step (nr.34, near line 247)");
S_256_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 45: // STATE 295 - ../../claim.pml:296 - [D_STEP296]
		if (!(boq == -1 && (((((1!=0)&&(((int)now.attempt[1].sought)&(1<<1)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=1))||(((((int)now.attempt[1].phase)==1)&&(((int)now.attempt[1].round)==1))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][295] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_259_0: /* 2 */
		if (!((((((1!=0)&&(((int)now.attempt[1].sought)&(1<<1)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=1))||(((((int)now.attempt[1].phase)==1)&&(((int)now.attempt[1].round)==1))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_293_0: /* 2 */
S_260_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_261_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_291_0: /* 2 */
S_262_0: /* 2 */
		if (!(((((int)now.attempt[1].phase)==1)&&(((int)now.attempt[1].round)==1))))
			goto S_291_1;
S_263_0: /* 2 */
		now.attempt[1].voted[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder);
#ifdef VAR_RANGES
		logval("attempt[1].voted[Node:self]", ((int)now.attempt[1].voted[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_289_0: /* 2 */
S_264_0: /* 2 */
		now.attempt[1].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[1].vote[Node:self]", ((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_270_0: /* 2 */
S_268_0: /* 2 */
S_265_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[1].known[0]))))
			goto S_268_1;
S_266_0: /* 2 */
		now.attempt[1].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[1].known[0]", ((int)now.attempt[1].known[0]));
#endif
		;
		goto S_269_0;
S_268_1: /* 3 */
S_267_0: /* 2 */
		/* else */;
		goto S_269_0;
S_268_2: /* 3 */
		Uerror("blocking sel in d_step (nr.35, near line 154)");
S_269_0: /* 2 */
		goto S_276_0;
S_276_0: /* 2 */
S_274_0: /* 2 */
S_271_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[1].known[1]))))
			goto S_274_1;
S_272_0: /* 2 */
		now.attempt[1].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[1].known[1]", ((int)now.attempt[1].known[1]));
#endif
		;
		goto S_275_0;
S_274_1: /* 3 */
S_273_0: /* 2 */
		/* else */;
		goto S_275_0;
S_274_2: /* 3 */
		Uerror("blocking sel in d_step (nr.36, near line 154)");
S_275_0: /* 2 */
		goto S_282_0;
S_282_0: /* 2 */
S_280_0: /* 2 */
S_277_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[1].known[2]))))
			goto S_280_1;
S_278_0: /* 2 */
		now.attempt[1].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[1].known[2]", ((int)now.attempt[1].known[2]));
#endif
		;
		goto S_281_0;
S_280_1: /* 3 */
S_279_0: /* 2 */
		/* else */;
		goto S_281_0;
S_280_2: /* 3 */
		Uerror("blocking sel in d_step (nr.37, near line 154)");
S_281_0: /* 2 */
		goto S_288_0;
S_288_0: /* 2 */
S_286_0: /* 2 */
S_283_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[1].known[3]))))
			goto S_286_1;
S_284_0: /* 2 */
		now.attempt[1].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[1].known[3]", ((int)now.attempt[1].known[3]));
#endif
		;
		goto S_287_0;
S_286_1: /* 3 */
S_285_0: /* 2 */
		/* else */;
		goto S_287_0;
S_286_2: /* 3 */
		Uerror("blocking sel in d_step (nr.38, near line 154)");
S_287_0: /* 2 */
		goto S_292_0;
S_291_1: /* 3 */
S_290_0: /* 2 */
		/* else */;
		goto S_292_0;
S_291_2: /* 3 */
		Uerror("blocking sel in d_step (nr.39, near line 259)");
S_292_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 46: // STATE 331 - ../../claim.pml:297 - [D_STEP297]
		if (!(boq == -1 && (((((1!=0)&&(((int)now.attempt[2].sought)&(1<<1)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=2))||(((((int)now.attempt[2].phase)==1)&&(((int)now.attempt[2].round)==1))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][331] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_295_0: /* 2 */
		if (!((((((1!=0)&&(((int)now.attempt[2].sought)&(1<<1)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((1==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(1!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=1)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=2))||(((((int)now.attempt[2].phase)==1)&&(((int)now.attempt[2].round)==1))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_329_0: /* 2 */
S_296_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_297_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_327_0: /* 2 */
S_298_0: /* 2 */
		if (!(((((int)now.attempt[2].phase)==1)&&(((int)now.attempt[2].round)==1))))
			goto S_327_1;
S_299_0: /* 2 */
		now.attempt[2].voted[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder);
#ifdef VAR_RANGES
		logval("attempt[2].voted[Node:self]", ((int)now.attempt[2].voted[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_325_0: /* 2 */
S_300_0: /* 2 */
		now.attempt[2].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[2].vote[Node:self]", ((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_306_0: /* 2 */
S_304_0: /* 2 */
S_301_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[2].known[0]))))
			goto S_304_1;
S_302_0: /* 2 */
		now.attempt[2].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[2].known[0]", ((int)now.attempt[2].known[0]));
#endif
		;
		goto S_305_0;
S_304_1: /* 3 */
S_303_0: /* 2 */
		/* else */;
		goto S_305_0;
S_304_2: /* 3 */
		Uerror("blocking sel in d_step (nr.40, near line 154)");
S_305_0: /* 2 */
		goto S_312_0;
S_312_0: /* 2 */
S_310_0: /* 2 */
S_307_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[2].known[1]))))
			goto S_310_1;
S_308_0: /* 2 */
		now.attempt[2].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[2].known[1]", ((int)now.attempt[2].known[1]));
#endif
		;
		goto S_311_0;
S_310_1: /* 3 */
S_309_0: /* 2 */
		/* else */;
		goto S_311_0;
S_310_2: /* 3 */
		Uerror("blocking sel in d_step (nr.41, near line 154)");
S_311_0: /* 2 */
		goto S_318_0;
S_318_0: /* 2 */
S_316_0: /* 2 */
S_313_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[2].known[2]))))
			goto S_316_1;
S_314_0: /* 2 */
		now.attempt[2].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[2].known[2]", ((int)now.attempt[2].known[2]));
#endif
		;
		goto S_317_0;
S_316_1: /* 3 */
S_315_0: /* 2 */
		/* else */;
		goto S_317_0;
S_316_2: /* 3 */
		Uerror("blocking sel in d_step (nr.42, near line 154)");
S_317_0: /* 2 */
		goto S_324_0;
S_324_0: /* 2 */
S_322_0: /* 2 */
S_319_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[2].known[3]))))
			goto S_322_1;
S_320_0: /* 2 */
		now.attempt[2].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[2].known[3]", ((int)now.attempt[2].known[3]));
#endif
		;
		goto S_323_0;
S_322_1: /* 3 */
S_321_0: /* 2 */
		/* else */;
		goto S_323_0;
S_322_2: /* 3 */
		Uerror("blocking sel in d_step (nr.43, near line 154)");
S_323_0: /* 2 */
		goto S_328_0;
S_327_1: /* 3 */
S_326_0: /* 2 */
		/* else */;
		goto S_328_0;
S_327_2: /* 3 */
		Uerror("blocking sel in d_step (nr.44, near line 259)");
S_328_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 47: // STATE 367 - ../../claim.pml:298 - [D_STEP298]
		if (!(boq == -1 && (((((2!=0)&&(((int)now.attempt[1].sought)&(1<<2)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=1))||(((((int)now.attempt[1].phase)==1)&&(((int)now.attempt[1].round)==2))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][367] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_331_0: /* 2 */
		if (!((((((2!=0)&&(((int)now.attempt[1].sought)&(1<<2)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[1].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[1].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(1<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=1))||(((((int)now.attempt[1].phase)==1)&&(((int)now.attempt[1].round)==2))&&(((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_365_0: /* 2 */
S_332_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_333_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_363_0: /* 2 */
S_334_0: /* 2 */
		if (!(((((int)now.attempt[1].phase)==1)&&(((int)now.attempt[1].round)==2))))
			goto S_363_1;
S_335_0: /* 2 */
		now.attempt[1].voted[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder);
#ifdef VAR_RANGES
		logval("attempt[1].voted[Node:self]", ((int)now.attempt[1].voted[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_361_0: /* 2 */
S_336_0: /* 2 */
		now.attempt[1].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[1].vote[Node:self]", ((int)now.attempt[1].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_342_0: /* 2 */
S_340_0: /* 2 */
S_337_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[1].known[0]))))
			goto S_340_1;
S_338_0: /* 2 */
		now.attempt[1].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[1].known[0]", ((int)now.attempt[1].known[0]));
#endif
		;
		goto S_341_0;
S_340_1: /* 3 */
S_339_0: /* 2 */
		/* else */;
		goto S_341_0;
S_340_2: /* 3 */
		Uerror("blocking sel in d_step (nr.45, near line 154)");
S_341_0: /* 2 */
		goto S_348_0;
S_348_0: /* 2 */
S_346_0: /* 2 */
S_343_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[1].known[1]))))
			goto S_346_1;
S_344_0: /* 2 */
		now.attempt[1].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[1].known[1]", ((int)now.attempt[1].known[1]));
#endif
		;
		goto S_347_0;
S_346_1: /* 3 */
S_345_0: /* 2 */
		/* else */;
		goto S_347_0;
S_346_2: /* 3 */
		Uerror("blocking sel in d_step (nr.46, near line 154)");
S_347_0: /* 2 */
		goto S_354_0;
S_354_0: /* 2 */
S_352_0: /* 2 */
S_349_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[1].known[2]))))
			goto S_352_1;
S_350_0: /* 2 */
		now.attempt[1].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[1].known[2]", ((int)now.attempt[1].known[2]));
#endif
		;
		goto S_353_0;
S_352_1: /* 3 */
S_351_0: /* 2 */
		/* else */;
		goto S_353_0;
S_352_2: /* 3 */
		Uerror("blocking sel in d_step (nr.47, near line 154)");
S_353_0: /* 2 */
		goto S_360_0;
S_360_0: /* 2 */
S_358_0: /* 2 */
S_355_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[1].known[3]))))
			goto S_358_1;
S_356_0: /* 2 */
		now.attempt[1].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[1].known[3]", ((int)now.attempt[1].known[3]));
#endif
		;
		goto S_359_0;
S_358_1: /* 3 */
S_357_0: /* 2 */
		/* else */;
		goto S_359_0;
S_358_2: /* 3 */
		Uerror("blocking sel in d_step (nr.48, near line 154)");
S_359_0: /* 2 */
		goto S_364_0;
S_363_1: /* 3 */
S_362_0: /* 2 */
		/* else */;
		goto S_364_0;
S_363_2: /* 3 */
		Uerror("blocking sel in d_step (nr.49, near line 259)");
S_364_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 48: // STATE 403 - ../../claim.pml:299 - [D_STEP299]
		if (!(boq == -1 && (((((2!=0)&&(((int)now.attempt[2].sought)&(1<<2)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=2))||(((((int)now.attempt[2].phase)==1)&&(((int)now.attempt[2].round)==2))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			continue;

		reached[0][403] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_367_0: /* 2 */
		if (!((((((2!=0)&&(((int)now.attempt[2].sought)&(1<<2)))&&((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.attempt[2].latest))|| !((((int)mutant)!=10))))&&((1<<((int)((P0 *)_this)->self))&( (((int)now.attempt[2].latest)) ? (( (((int)now.settled)) ? (14) : ((7|14)) )) : (7) ))))&& !(((((int)mutant)!=8)&&((2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))||(((2==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised))&&(2!=0))&&(2<((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)))))))&&(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=2)||(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)!=2))||(((((int)now.attempt[2].phase)==1)&&(((int)now.attempt[2].round)==2))&&(((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ])!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)))))))
			Uerror("block in d_step seq");
S_401_0: /* 2 */
S_368_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_369_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 2;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_399_0: /* 2 */
S_370_0: /* 2 */
		if (!(((((int)now.attempt[2].phase)==1)&&(((int)now.attempt[2].round)==2))))
			goto S_399_1;
S_371_0: /* 2 */
		now.attempt[2].voted[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder);
#ifdef VAR_RANGES
		logval("attempt[2].voted[Node:self]", ((int)now.attempt[2].voted[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_397_0: /* 2 */
S_372_0: /* 2 */
		now.attempt[2].vote[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("attempt[2].vote[Node:self]", ((int)now.attempt[2].vote[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
S_378_0: /* 2 */
S_376_0: /* 2 */
S_373_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])>((int)now.attempt[2].known[0]))))
			goto S_376_1;
S_374_0: /* 2 */
		now.attempt[2].known[0] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]);
#ifdef VAR_RANGES
		logval("attempt[2].known[0]", ((int)now.attempt[2].known[0]));
#endif
		;
		goto S_377_0;
S_376_1: /* 3 */
S_375_0: /* 2 */
		/* else */;
		goto S_377_0;
S_376_2: /* 3 */
		Uerror("blocking sel in d_step (nr.50, near line 154)");
S_377_0: /* 2 */
		goto S_384_0;
S_384_0: /* 2 */
S_382_0: /* 2 */
S_379_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])>((int)now.attempt[2].known[1]))))
			goto S_382_1;
S_380_0: /* 2 */
		now.attempt[2].known[1] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]);
#ifdef VAR_RANGES
		logval("attempt[2].known[1]", ((int)now.attempt[2].known[1]));
#endif
		;
		goto S_383_0;
S_382_1: /* 3 */
S_381_0: /* 2 */
		/* else */;
		goto S_383_0;
S_382_2: /* 3 */
		Uerror("blocking sel in d_step (nr.51, near line 154)");
S_383_0: /* 2 */
		goto S_390_0;
S_390_0: /* 2 */
S_388_0: /* 2 */
S_385_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])>((int)now.attempt[2].known[2]))))
			goto S_388_1;
S_386_0: /* 2 */
		now.attempt[2].known[2] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]);
#ifdef VAR_RANGES
		logval("attempt[2].known[2]", ((int)now.attempt[2].known[2]));
#endif
		;
		goto S_389_0;
S_388_1: /* 3 */
S_387_0: /* 2 */
		/* else */;
		goto S_389_0;
S_388_2: /* 3 */
		Uerror("blocking sel in d_step (nr.52, near line 154)");
S_389_0: /* 2 */
		goto S_396_0;
S_396_0: /* 2 */
S_394_0: /* 2 */
S_391_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])>((int)now.attempt[2].known[3]))))
			goto S_394_1;
S_392_0: /* 2 */
		now.attempt[2].known[3] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]);
#ifdef VAR_RANGES
		logval("attempt[2].known[3]", ((int)now.attempt[2].known[3]));
#endif
		;
		goto S_395_0;
S_394_1: /* 3 */
S_393_0: /* 2 */
		/* else */;
		goto S_395_0;
S_394_2: /* 3 */
		Uerror("blocking sel in d_step (nr.53, near line 154)");
S_395_0: /* 2 */
		goto S_400_0;
S_399_1: /* 3 */
S_398_0: /* 2 */
		/* else */;
		goto S_400_0;
S_399_2: /* 3 */
		Uerror("blocking sel in d_step (nr.54, near line 259)");
S_400_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 49: // STATE 418 - ../../claim.pml:300 - [D_STEP300]
		if (!(boq == -1 && ((((int)now.attempt[1].phase)==5)&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==1)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[1].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[1].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))))
			continue;

		reached[0][418] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_403_0: /* 2 */
		if (!(((((int)now.attempt[1].phase)==5)&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==1)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[1].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[1].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))))
			Uerror("block in d_step seq");
S_416_0: /* 2 */
S_408_0: /* 2 */
S_404_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==1)))
			goto S_408_1;
S_405_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_406_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_409_0;
S_408_1: /* 3 */
S_407_0: /* 2 */
		/* else */;
		goto S_409_0;
S_408_2: /* 3 */
		Uerror("blocking sel in d_step (nr.55, near line 272)");
S_409_0: /* 2 */
S_414_0: /* 2 */
S_410_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[1].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[1].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))
			goto S_414_1;
S_411_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = (((int)now.attempt[1].round)+1);
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_412_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
		goto S_415_0;
S_414_1: /* 3 */
S_413_0: /* 2 */
		/* else */;
		goto S_415_0;
S_414_2: /* 3 */
		Uerror("blocking sel in d_step (nr.56, near line 278)");
S_415_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 50: // STATE 433 - ../../claim.pml:301 - [D_STEP301]
		if (!(boq == -1 && ((((int)now.attempt[2].phase)==5)&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==2)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[2].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[2].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))))
			continue;

		reached[0][433] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_418_0: /* 2 */
		if (!(((((int)now.attempt[2].phase)==5)&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==2)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[2].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[2].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))))
			Uerror("block in d_step seq");
S_431_0: /* 2 */
S_423_0: /* 2 */
S_419_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==2)))
			goto S_423_1;
S_420_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_421_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_424_0;
S_423_1: /* 3 */
S_422_0: /* 2 */
		/* else */;
		goto S_424_0;
S_423_2: /* 3 */
		Uerror("blocking sel in d_step (nr.57, near line 272)");
S_424_0: /* 2 */
S_429_0: /* 2 */
S_425_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[2].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[2].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))
			goto S_429_1;
S_426_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = (((int)now.attempt[2].round)+1);
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_427_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
		goto S_430_0;
S_429_1: /* 3 */
S_428_0: /* 2 */
		/* else */;
		goto S_430_0;
S_429_2: /* 3 */
		Uerror("blocking sel in d_step (nr.58, near line 278)");
S_430_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 51: // STATE 448 - ../../claim.pml:302 - [D_STEP302]
		if (!(boq == -1 && ((((int)now.attempt[3].phase)==5)&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==3)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[3].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[3].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))))
			continue;

		reached[0][448] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_433_0: /* 2 */
		if (!(((((int)now.attempt[3].phase)==5)&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==3)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[3].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[3].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))))
			Uerror("block in d_step seq");
S_446_0: /* 2 */
S_438_0: /* 2 */
S_434_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==3)))
			goto S_438_1;
S_435_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_436_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_439_0;
S_438_1: /* 3 */
S_437_0: /* 2 */
		/* else */;
		goto S_439_0;
S_438_2: /* 3 */
		Uerror("blocking sel in d_step (nr.59, near line 272)");
S_439_0: /* 2 */
S_444_0: /* 2 */
S_440_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<(((int)now.attempt[3].round)+1))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==(((int)now.attempt[3].round)+1))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<0)))))
			goto S_444_1;
S_441_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = (((int)now.attempt[3].round)+1);
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_442_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
		goto S_445_0;
S_444_1: /* 3 */
S_443_0: /* 2 */
		/* else */;
		goto S_445_0;
S_444_2: /* 3 */
		Uerror("blocking sel in d_step (nr.60, near line 278)");
S_445_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 52: // STATE 541 - ../../claim.pml:303 - [D_STEP303]
		if (!(boq == -1 && ((((0!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[0].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=((int)now.replica[0].life))||(((int)now.replica[0].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<0))))))))
			continue;

		reached[0][541] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_448_0: /* 2 */
		if (!(((((0!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[0].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=((int)now.replica[0].life))||(((int)now.replica[0].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<0))))))))
			Uerror("block in d_step seq");
S_539_0: /* 2 */
S_454_0: /* 2 */
S_452_0: /* 2 */
S_449_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)>((int)now.replica[0].known[ Index(((int)((P0 *)_this)->self), 4) ]))))
			goto S_452_1;
S_450_0: /* 2 */
		now.replica[0].known[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("replica[0].known[Node:self]", ((int)now.replica[0].known[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
		goto S_453_0;
S_452_1: /* 3 */
S_451_0: /* 2 */
		/* else */;
		goto S_453_0;
S_452_2: /* 3 */
		Uerror("blocking sel in d_step (nr.61, near line 154)");
S_453_0: /* 2 */
		goto S_460_0;
S_460_0: /* 2 */
S_458_0: /* 2 */
S_455_0: /* 2 */
		if (!((((int)now.replica[0].life)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]))))
			goto S_458_1;
S_456_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[0] = ((int)now.replica[0].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]));
#endif
		;
		goto S_459_0;
S_458_1: /* 3 */
S_457_0: /* 2 */
		/* else */;
		goto S_459_0;
S_458_2: /* 3 */
		Uerror("blocking sel in d_step (nr.62, near line 154)");
S_459_0: /* 2 */
		goto S_466_0;
S_466_0: /* 2 */
S_464_0: /* 2 */
S_461_0: /* 2 */
		if (!((((int)now.replica[0].known[0])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]))))
			goto S_464_1;
S_462_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[0] = ((int)now.replica[0].known[0]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]));
#endif
		;
		goto S_465_0;
S_464_1: /* 3 */
S_463_0: /* 2 */
		/* else */;
		goto S_465_0;
S_464_2: /* 3 */
		Uerror("blocking sel in d_step (nr.63, near line 154)");
S_465_0: /* 2 */
		goto S_472_0;
S_472_0: /* 2 */
S_470_0: /* 2 */
S_467_0: /* 2 */
		if (!((((int)now.replica[0].known[1])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))
			goto S_470_1;
S_468_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[1] = ((int)now.replica[0].known[1]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]));
#endif
		;
		goto S_471_0;
S_470_1: /* 3 */
S_469_0: /* 2 */
		/* else */;
		goto S_471_0;
S_470_2: /* 3 */
		Uerror("blocking sel in d_step (nr.64, near line 154)");
S_471_0: /* 2 */
		goto S_478_0;
S_478_0: /* 2 */
S_476_0: /* 2 */
S_473_0: /* 2 */
		if (!((((int)now.replica[0].known[2])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))
			goto S_476_1;
S_474_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[2] = ((int)now.replica[0].known[2]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]));
#endif
		;
		goto S_477_0;
S_476_1: /* 3 */
S_475_0: /* 2 */
		/* else */;
		goto S_477_0;
S_476_2: /* 3 */
		Uerror("blocking sel in d_step (nr.65, near line 154)");
S_477_0: /* 2 */
		goto S_484_0;
S_484_0: /* 2 */
S_482_0: /* 2 */
S_479_0: /* 2 */
		if (!((((int)now.replica[0].known[3])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))
			goto S_482_1;
S_480_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[3] = ((int)now.replica[0].known[3]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]));
#endif
		;
		goto S_483_0;
S_482_1: /* 3 */
S_481_0: /* 2 */
		/* else */;
		goto S_483_0;
S_482_2: /* 3 */
		Uerror("blocking sel in d_step (nr.66, near line 154)");
S_483_0: /* 2 */
		goto S_509_0;
S_509_0: /* 2 */
S_485_0: /* 2 */
		if (!( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))))
			goto S_509_1;
S_507_0: /* 2 */
S_490_0: /* 2 */
S_486_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<((int)now.replica[0].promised))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==((int)now.replica[0].promised))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<((int)now.replica[0].to))))))
			goto S_490_1;
S_487_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = ((int)now.replica[0].promised);
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_488_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ((int)now.replica[0].to);
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
		goto S_491_0;
S_490_1: /* 3 */
S_489_0: /* 2 */
		/* else */;
		goto S_491_0;
S_490_2: /* 3 */
		Uerror("blocking sel in d_step (nr.67, near line 130)");
S_491_0: /* 2 */
S_492_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)||((int)now.replica[0].unsure));
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
S_505_0: /* 2 */
S_493_0: /* 2 */
		if (!((((int)now.replica[0].holder)==0)))
			goto S_505_1;
		goto S_506_0;
S_505_1: /* 3 */
S_494_0: /* 2 */
		if (!(((((int)now.replica[0].holder)!=0)&&(((int)now.replica[0].holder)==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_505_2;
S_495_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ( ((((int)now.replica[0].round)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round))) ? (((int)now.replica[0].round)) : (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)) );
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_506_0;
S_505_2: /* 3 */
S_496_0: /* 2 */
		if (!(((((int)now.replica[0].holder)!=0)&&(((int)now.replica[0].holder)!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_505_3;
S_503_0: /* 2 */
S_497_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==0)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)<((int)now.replica[0].round))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==((int)now.replica[0].round))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)<((int)now.replica[0].holder)))))))
			goto S_503_1;
S_498_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = ((int)now.replica[0].holder);
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_499_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ((int)now.replica[0].round);
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_504_0;
S_503_1: /* 3 */
S_500_0: /* 2 */
		if (!((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==0))&&(((int)now.replica[0].round)==0))))
			goto S_503_2;
S_501_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)mutant)!=6);
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
		goto S_504_0;
S_503_2: /* 3 */
S_502_0: /* 2 */
		/* else */;
		goto S_504_0;
S_503_3: /* 3 */
		Uerror("blocking sel in d_step (nr.68, near line 142)");
S_504_0: /* 2 */
		goto S_506_0;
S_505_3: /* 3 */
		Uerror("blocking sel in d_step (nr.69, near line 137)");
S_506_0: /* 2 */
		goto S_510_0;
S_509_1: /* 3 */
S_508_0: /* 2 */
		/* else */;
		goto S_510_0;
S_509_2: /* 3 */
		Uerror("blocking sel in d_step (nr.70, near line 172)");
S_510_0: /* 2 */
S_511_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[0] = ((int)now.replica[0].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].source[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0]));
#endif
		;
S_516_0: /* 2 */
S_512_0: /* 2 */
		if (!(((int)now.replica[0].able)))
			goto S_516_1;
S_513_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)|(1<<0));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_517_0;
S_516_1: /* 3 */
S_514_0: /* 2 */
		/* else */;
S_515_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)& ~((1<<0)));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_517_0;
S_516_2: /* 3 */
		Uerror("blocking sel in d_step (nr.71, near line 177)");
S_517_0: /* 2 */
S_538_0: /* 2 */
S_521_0: /* 2 */
S_518_0: /* 2 */
		if (!(( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))&&( ((((int)now.settled)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest))) ? ((((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))+((((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<3))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : ((((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<0))|| !((((int)mutant)!=11))))+((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11)))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) ))))
			goto S_521_1;
S_519_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].able = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].able", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able));
#endif
		;
		goto S_522_0;
S_521_1: /* 3 */
S_520_0: /* 2 */
		/* else */;
		goto S_522_0;
S_521_2: /* 3 */
		Uerror("blocking sel in d_step (nr.72, near line 103)");
S_522_0: /* 2 */
S_526_0: /* 2 */
S_523_0: /* 2 */
		if (!(( (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)) ? (((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))+(((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : (((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))+(((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) )))
			goto S_526_1;
S_524_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].announced = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].announced", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced));
#endif
		;
		goto S_527_0;
S_526_1: /* 3 */
S_525_0: /* 2 */
		/* else */;
		goto S_527_0;
S_526_2: /* 3 */
		Uerror("blocking sel in d_step (nr.73, near line 107)");
S_527_0: /* 2 */
S_536_0: /* 2 */
S_528_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))
			goto S_536_1;
S_534_0: /* 2 */
S_529_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0]));
#endif
		;
S_530_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1]));
#endif
		;
S_531_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2]));
#endif
		;
S_532_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3]));
#endif
		;
S_533_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_537_0;
S_536_1: /* 3 */
S_535_0: /* 2 */
		/* else */;
		goto S_537_0;
S_536_2: /* 3 */
		Uerror("blocking sel in d_step (nr.74, near line 111)");
S_537_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 53: // STATE 634 - ../../claim.pml:304 - [D_STEP304]
		if (!(boq == -1 && ((((1!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[1].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=((int)now.replica[1].life))||(((int)now.replica[1].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))))))))
