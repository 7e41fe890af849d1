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

		 /* CLAIM converges */
	case 3: // STATE 1 - _spin_nvr.tmp:3 - [(!(((((((faultsOver&&(!(node[0].up)||((((node[0].inForce==node[0].staged)&&(node[0].ready||(!(sourceUp)&&(node[0].inForce==0))))&&(!(sourceUp)||(node[0].inForce==published)))&&((crashes>=quorum)||(node[0].inForce>=acceptedByQuorum)))))&&(!(node[1].up)||((((node[1].inForce==node[1].staged)&&(node[1].ready||(!(sourceUp)&&(node[1].inForce==0))))&&(!(sourceUp)||(node[1].inForce==published)))&&((crashes>=quorum)||(node[1].inForce>=acceptedByQuorum)))))&&(!(node[2].up)||((((node[2].inForce==node[2].staged)&&(node[2].ready||(!(sourceUp)&&(node[2].inForce==0))))&&(!(sourceUp)||(node[2].inForce==published)))&&((crashes>=quorum)||(node[2].inForce>=acceptedByQuorum)))))&&((!(node[0].up)||!(node[1].up))||(node[0].inForce==node[1].inForce)))&&((!(node[1].up)||!(node[2].up))||(node[1].inForce==node[2].inForce)))&&((!(node[0].up)||!(node[2].up))||(node[0].inForce==node[2].inForce)))))] (0:0:0 - 1)
		
#if defined(VERI) && !defined(NP)
#if NCLAIMS>1
		{	static int reported1 = 0;
			if (verbose && !reported1)
			{	int nn = (int) ((Pclaim *)pptr(0))->_n;
				printf("depth %ld: Claim %s (%d), state %d (line %d)\n",
					depth, procname[spin_c_typ[nn]], nn, (int) ((Pclaim *)pptr(0))->_p, src_claim[ (int) ((Pclaim *)pptr(0))->_p ]);
				reported1 = 1;
				fflush(stdout);
		}	}
#else
		{	static int reported1 = 0;
			if (verbose && !reported1)
			{	printf("depth %d: Claim, state %d (line %d)\n",
					(int) depth, (int) ((Pclaim *)pptr(0))->_p, src_claim[ (int) ((Pclaim *)pptr(0))->_p ]);
				reported1 = 1;
				fflush(stdout);
		}	}
#endif
#endif
		reached[4][1] = 1;
		if (!( !(((((((((int)now.faultsOver)&&( !(((int)now.node[0].up))||((((((int)now.node[0].inForce)==((int)now.node[0].staged))&&(((int)now.node[0].ready)||( !(((int)now.sourceUp))&&(((int)now.node[0].inForce)==0))))&&( !(((int)now.sourceUp))||(((int)now.node[0].inForce)==((int)now.published))))&&((((int)now.crashes)>=((int)quorum))||(((int)now.node[0].inForce)>=((int)now.acceptedByQuorum))))))&&( !(((int)now.node[1].up))||((((((int)now.node[1].inForce)==((int)now.node[1].staged))&&(((int)now.node[1].ready)||( !(((int)now.sourceUp))&&(((int)now.node[1].inForce)==0))))&&( !(((int)now.sourceUp))||(((int)now.node[1].inForce)==((int)now.published))))&&((((int)now.crashes)>=((int)quorum))||(((int)now.node[1].inForce)>=((int)now.acceptedByQuorum))))))&&( !(((int)now.node[2].up))||((((((int)now.node[2].inForce)==((int)now.node[2].staged))&&(((int)now.node[2].ready)||( !(((int)now.sourceUp))&&(((int)now.node[2].inForce)==0))))&&( !(((int)now.sourceUp))||(((int)now.node[2].inForce)==((int)now.published))))&&((((int)now.crashes)>=((int)quorum))||(((int)now.node[2].inForce)>=((int)now.acceptedByQuorum))))))&&(( !(((int)now.node[0].up))|| !(((int)now.node[1].up)))||(((int)now.node[0].inForce)==((int)now.node[1].inForce))))&&(( !(((int)now.node[1].up))|| !(((int)now.node[2].up)))||(((int)now.node[1].inForce)==((int)now.node[2].inForce))))&&(( !(((int)now.node[0].up))|| !(((int)now.node[2].up)))||(((int)now.node[0].inForce)==((int)now.node[2].inForce)))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 4: // STATE 13 - _spin_nvr.tmp:10 - [-end-] (0:0:0 - 1)
		
#if defined(VERI) && !defined(NP)
#if NCLAIMS>1
		{	static int reported13 = 0;
			if (verbose && !reported13)
			{	int nn = (int) ((Pclaim *)pptr(0))->_n;
				printf("depth %ld: Claim %s (%d), state %d (line %d)\n",
					depth, procname[spin_c_typ[nn]], nn, (int) ((Pclaim *)pptr(0))->_p, src_claim[ (int) ((Pclaim *)pptr(0))->_p ]);
				reported13 = 1;
				fflush(stdout);
		}	}
#else
		{	static int reported13 = 0;
			if (verbose && !reported13)
			{	printf("depth %d: Claim, state %d (line %d)\n",
					(int) depth, (int) ((Pclaim *)pptr(0))->_p, src_claim[ (int) ((Pclaim *)pptr(0))->_p ]);
				reported13 = 1;
				fflush(stdout);
		}	}
#endif
#endif
		reached[4][13] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC :init: */
	case 5: // STATE 1 - ../../distribution.pml:327 - [{c_code1}] (0:0:0 - 1)
		IfNotBlocked
		reached[3][1] = 1;
		/* c_code1 */
		{ 
		sv_save();
      mutant = atoi(getenv("MUTANT"));
      quorum = atoi(getenv("QUORUM"));
      newest = atoi(getenv("NEWEST"));
      maxCrashes = atoi(getenv("CRASHES"));
      mortal = atoi(getenv("MORTAL"));
      maxCuts = atoi(getenv("CUTS"));
      ending = atoi(getenv("ENDING"));
      witness = atoi(getenv("WITNESS"));
      now.acceptedByQuorum = atoi(getenv("START"));
      now.published = now.acceptedByQuorum > 0 ? now.acceptedByQuorum : 1;
     }

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
;
		_m = 3; goto P999; /* 0 */
	case 6: // STATE 2 - ../../distribution.pml:316 - [node[0].up = 1] (0:17:7 - 1)
		IfNotBlocked
		reached[3][2] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.node[0].up);
		now.node[0].up = 1;
#ifdef VAR_RANGES
		logval("node[0].up", ((int)now.node[0].up));
#endif
		;
		/* merge: node[0].ready = (acceptedByQuorum!=0)(17, 3, 17) */
		reached[3][3] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.node[0].ready);
		now.node[0].ready = (((int)now.acceptedByQuorum)!=0);
#ifdef VAR_RANGES
		logval("node[0].ready", ((int)now.node[0].ready));
#endif
		;
		/* merge: node[0].service = acceptedByQuorum(17, 4, 17) */
		reached[3][4] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.node[0].service);
		now.node[0].service = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[0].service", ((int)now.node[0].service));
#endif
		;
		/* merge: node[0].secret = acceptedByQuorum(17, 5, 17) */
		reached[3][5] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.node[0].secret);
		now.node[0].secret = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[0].secret", ((int)now.node[0].secret));
#endif
		;
		/* merge: node[0].staged = acceptedByQuorum(17, 6, 17) */
		reached[3][6] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.node[0].staged);
		now.node[0].staged = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[0].staged", ((int)now.node[0].staged));
#endif
		;
		/* merge: node[0].accepted = acceptedByQuorum(17, 7, 17) */
		reached[3][7] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.node[0].accepted);
		now.node[0].accepted = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[0].accepted", ((int)now.node[0].accepted));
#endif
		;
		/* merge: node[0].inForce = acceptedByQuorum(17, 8, 17) */
		reached[3][8] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.node[0].inForce);
		now.node[0].inForce = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[0].inForce", ((int)now.node[0].inForce));
#endif
		;
		_m = 3; goto P999; /* 6 */
	case 7: // STATE 10 - ../../distribution.pml:316 - [node[1].up = 1] (0:25:7 - 1)
		IfNotBlocked
		reached[3][10] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.node[1].up);
		now.node[1].up = 1;
#ifdef VAR_RANGES
		logval("node[1].up", ((int)now.node[1].up));
#endif
		;
		/* merge: node[1].ready = (acceptedByQuorum!=0)(25, 11, 25) */
		reached[3][11] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.node[1].ready);
		now.node[1].ready = (((int)now.acceptedByQuorum)!=0);
#ifdef VAR_RANGES
		logval("node[1].ready", ((int)now.node[1].ready));
#endif
		;
		/* merge: node[1].service = acceptedByQuorum(25, 12, 25) */
		reached[3][12] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.node[1].service);
		now.node[1].service = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[1].service", ((int)now.node[1].service));
#endif
		;
		/* merge: node[1].secret = acceptedByQuorum(25, 13, 25) */
		reached[3][13] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.node[1].secret);
		now.node[1].secret = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[1].secret", ((int)now.node[1].secret));
#endif
		;
		/* merge: node[1].staged = acceptedByQuorum(25, 14, 25) */
		reached[3][14] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.node[1].staged);
		now.node[1].staged = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[1].staged", ((int)now.node[1].staged));
#endif
		;
		/* merge: node[1].accepted = acceptedByQuorum(25, 15, 25) */
		reached[3][15] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.node[1].accepted);
		now.node[1].accepted = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[1].accepted", ((int)now.node[1].accepted));
#endif
		;
		/* merge: node[1].inForce = acceptedByQuorum(25, 16, 25) */
		reached[3][16] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.node[1].inForce);
		now.node[1].inForce = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[1].inForce", ((int)now.node[1].inForce));
#endif
		;
		_m = 3; goto P999; /* 6 */
	case 8: // STATE 18 - ../../distribution.pml:316 - [node[2].up = 1] (0:26:7 - 1)
		IfNotBlocked
		reached[3][18] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.node[2].up);
		now.node[2].up = 1;
#ifdef VAR_RANGES
		logval("node[2].up", ((int)now.node[2].up));
#endif
		;
		/* merge: node[2].ready = (acceptedByQuorum!=0)(26, 19, 26) */
		reached[3][19] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.node[2].ready);
		now.node[2].ready = (((int)now.acceptedByQuorum)!=0);
#ifdef VAR_RANGES
		logval("node[2].ready", ((int)now.node[2].ready));
#endif
		;
		/* merge: node[2].service = acceptedByQuorum(26, 20, 26) */
		reached[3][20] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.node[2].service);
		now.node[2].service = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[2].service", ((int)now.node[2].service));
#endif
		;
		/* merge: node[2].secret = acceptedByQuorum(26, 21, 26) */
		reached[3][21] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.node[2].secret);
		now.node[2].secret = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[2].secret", ((int)now.node[2].secret));
#endif
		;
		/* merge: node[2].staged = acceptedByQuorum(26, 22, 26) */
		reached[3][22] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.node[2].staged);
		now.node[2].staged = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[2].staged", ((int)now.node[2].staged));
#endif
		;
		/* merge: node[2].accepted = acceptedByQuorum(26, 23, 26) */
		reached[3][23] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.node[2].accepted);
		now.node[2].accepted = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[2].accepted", ((int)now.node[2].accepted));
#endif
		;
		/* merge: node[2].inForce = acceptedByQuorum(26, 24, 26) */
		reached[3][24] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.node[2].inForce);
		now.node[2].inForce = ((int)now.acceptedByQuorum);
#ifdef VAR_RANGES
		logval("node[2].inForce", ((int)now.node[2].inForce));
#endif
		;
		_m = 3; goto P999; /* 6 */
	case 9: // STATE 26 - ../../distribution.pml:342 - [(run Process(0))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][26] = 1;
		if (!(addproc(II, 1, 0, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 10: // STATE 27 - ../../distribution.pml:343 - [(run Process(1))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][27] = 1;
		if (!(addproc(II, 1, 0, 1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 11: // STATE 28 - ../../distribution.pml:344 - [(run Process(2))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][28] = 1;
		if (!(addproc(II, 1, 0, 2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 12: // STATE 29 - ../../distribution.pml:345 - [(run Faults())] (0:0:0 - 1)
		IfNotBlocked
		reached[3][29] = 1;
		if (!(addproc(II, 1, 1, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 13: // STATE 30 - ../../distribution.pml:346 - [(run Monitor())] (0:0:0 - 1)
		IfNotBlocked
		reached[3][30] = 1;
		if (!(addproc(II, 1, 2, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 14: // STATE 32 - ../../distribution.pml:348 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[3][32] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Monitor */
	case 15: // STATE 1 - ../../distribution.pml:311 - [((timeout&&(ending==2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[2][1] = 1;
		if (!((((trpt->tau)&1)&&(((int)ending)==2))))
			continue;
		_m = 1; goto P999; /* 0 */
	case 16: // STATE 2 - ../../distribution.pml:312 - [assert((((((((faultsOver&&(!(node[0].up)||((((node[0].inForce==node[0].staged)&&(node[0].ready||(!(sourceUp)&&(node[0].inForce==0))))&&(!(sourceUp)||(node[0].inForce==published)))&&((crashes>=quorum)||(node[0].inForce>=acceptedByQuorum)))))&&(!(node[1].up)||((((node[1].inForce==node[1].staged)&&(node[1].ready||(!(sourceUp)&&(node[1].inForce==0))))&&(!(sourceUp)||(node[1].inForce==published)))&&((crashes>=quorum)||(node[1].inForce>=acceptedByQuorum)))))&&(!(node[2].up)||((((node[2].inForce==node[2].staged)&&(node[2].ready||(!(sourceUp)&&(node[2].inForce==0))))&&(!(sourceUp)||(node[2].inForce==published)))&&((crashes>=quorum)||(node[2].inForce>=acceptedByQuorum)))))&&((!(node[0].up)||!(node[1].up))||(node[0].inForce==node[1].inForce)))&&((!(node[1].up)||!(node[2].up))||(node[1].inForce==node[2].inForce)))&&((!(node[0].up)||!(node[2].up))||(node[0].inForce==node[2].inForce)))||not_converged))] (0:0:0 - 1)
		IfNotBlocked
		reached[2][2] = 1;
		spin_assert((((((((((int)now.faultsOver)&&( !(((int)now.node[0].up))||((((((int)now.node[0].inForce)==((int)now.node[0].staged))&&(((int)now.node[0].ready)||( !(((int)now.sourceUp))&&(((int)now.node[0].inForce)==0))))&&( !(((int)now.sourceUp))||(((int)now.node[0].inForce)==((int)now.published))))&&((((int)now.crashes)>=((int)quorum))||(((int)now.node[0].inForce)>=((int)now.acceptedByQuorum))))))&&( !(((int)now.node[1].up))||((((((int)now.node[1].inForce)==((int)now.node[1].staged))&&(((int)now.node[1].ready)||( !(((int)now.sourceUp))&&(((int)now.node[1].inForce)==0))))&&( !(((int)now.sourceUp))||(((int)now.node[1].inForce)==((int)now.published))))&&((((int)now.crashes)>=((int)quorum))||(((int)now.node[1].inForce)>=((int)now.acceptedByQuorum))))))&&( !(((int)now.node[2].up))||((((((int)now.node[2].inForce)==((int)now.node[2].staged))&&(((int)now.node[2].ready)||( !(((int)now.sourceUp))&&(((int)now.node[2].inForce)==0))))&&( !(((int)now.sourceUp))||(((int)now.node[2].inForce)==((int)now.published))))&&((((int)now.crashes)>=((int)quorum))||(((int)now.node[2].inForce)>=((int)now.acceptedByQuorum))))))&&(( !(((int)now.node[0].up))|| !(((int)now.node[1].up)))||(((int)now.node[0].inForce)==((int)now.node[1].inForce))))&&(( !(((int)now.node[1].up))|| !(((int)now.node[2].up)))||(((int)now.node[1].inForce)==((int)now.node[2].inForce))))&&(( !(((int)now.node[0].up))|| !(((int)now.node[2].up)))||(((int)now.node[0].inForce)==((int)now.node[2].inForce))))||((int)not_converged)), "(((((((faultsOver&&( !(node[0].up)||((((node[0].inForce==node[0].staged)&&(node[0].ready||( !(sourceUp)&&(node[0].inForce==0))))&&( !(sourceUp)||(node[0].inForce==published)))&&((crashes>=quorum)||(node[0].inForce>=acceptedByQuorum)))))&&( !(node[1].up)||((((node[1].inForce==node[1].staged)&&(node[1].ready||( !(sourceUp)&&(node[1].inForce==0))))&&( !(sourceUp)||(node[1].inForce==published)))&&((crashes>=quorum)||(node[1].inForce>=acceptedByQuorum)))))&&( !(node[2].up)||((((node[2].inForce==node[2].staged)&&(node[2].ready||( !(sourceUp)&&(node[2].inForce==0))))&&( !(sourceUp)||(node[2].inForce==published)))&&((crashes>=quorum)||(node[2].inForce>=acceptedByQuorum)))))&&(( !(node[0].up)|| !(node[1].up))||(node[0].inForce==node[1].inForce)))&&(( !(node[1].up)|| !(node[2].up))||(node[1].inForce==node[2].inForce)))&&(( !(node[0].up)|| !(node[2].up))||(node[0].inForce==node[2].inForce)))||not_converged)", II, tt, t);
		_m = 3; goto P999; /* 0 */
	case 17: // STATE 3 - ../../distribution.pml:313 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[2][3] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Faults */
	case 18: // STATE 3 - ../../distribution.pml:280 - [D_STEP280]
		if (!(boq == -1 && ( !(((int)now.faultsOver))&&(((int)now.published)<((int)newest)))))
			continue;

		reached[1][3] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_216_0: /* 2 */
		if (!(( !(((int)now.faultsOver))&&(((int)now.published)<((int)newest)))))
			Uerror("block in d_step seq");
S_217_0: /* 2 */
		now.published = (((int)now.published)+1);
#ifdef VAR_RANGES
		logval("published", ((int)now.published));
#endif
		;
		goto S_330_0;
S_330_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 19: // STATE 29 - ../../distribution.pml:281 - [D_STEP281]
		if (!(boq == -1 && ((( !(((int)now.faultsOver))&&((int)now.node[0].up))&&(((int)now.crashes)<((int)maxCrashes)))&&(((int)mortal)&(1<<0)))))
			continue;

		reached[1][29] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_219_0: /* 2 */
		if (!(((( !(((int)now.faultsOver))&&((int)now.node[0].up))&&(((int)now.crashes)<((int)maxCrashes)))&&(((int)mortal)&(1<<0)))))
			Uerror("block in d_step seq");
S_243_0: /* 2 */
S_220_0: /* 2 */
		now.node[0].up = 0;
#ifdef VAR_RANGES
		logval("node[0].up", ((int)now.node[0].up));
#endif
		;
S_221_0: /* 2 */
		now.node[0].ready = 0;
#ifdef VAR_RANGES
		logval("node[0].ready", ((int)now.node[0].ready));
#endif
		;
S_222_0: /* 2 */
		now.node[0].service = 0;
#ifdef VAR_RANGES
		logval("node[0].service", ((int)now.node[0].service));
#endif
		;
S_223_0: /* 2 */
		now.node[0].secret = 0;
#ifdef VAR_RANGES
		logval("node[0].secret", ((int)now.node[0].secret));
#endif
		;
S_224_0: /* 2 */
		now.node[0].staged = 0;
#ifdef VAR_RANGES
		logval("node[0].staged", ((int)now.node[0].staged));
#endif
		;
S_225_0: /* 2 */
		now.node[0].accepted = 0;
#ifdef VAR_RANGES
		logval("node[0].accepted", ((int)now.node[0].accepted));
#endif
		;
S_226_0: /* 2 */
		now.node[0].inForce = 0;
#ifdef VAR_RANGES
		logval("node[0].inForce", ((int)now.node[0].inForce));
#endif
		;
S_227_0: /* 2 */
		now.node[0].reports = 0;
#ifdef VAR_RANGES
		logval("node[0].reports", ((int)now.node[0].reports));
#endif
		;
S_228_0: /* 2 */
		now.node[0].heard = 0;
#ifdef VAR_RANGES
		logval("node[0].heard", ((int)now.node[0].heard));
#endif
		;
S_229_0: /* 2 */
		now.node[0].needed = 0;
#ifdef VAR_RANGES
		logval("node[0].needed", ((int)now.node[0].needed));
#endif
		;
S_230_0: /* 2 */
		now.owed[0].by[0] = 0;
#ifdef VAR_RANGES
		logval("owed[0].by[0]", ((int)now.owed[0].by[0]));
#endif
		;
S_231_0: /* 2 */
		now.owed[0].by[1] = 0;
#ifdef VAR_RANGES
		logval("owed[0].by[1]", ((int)now.owed[0].by[1]));
#endif
		;
S_232_0: /* 2 */
		now.owed[0].by[2] = 0;
#ifdef VAR_RANGES
		logval("owed[0].by[2]", ((int)now.owed[0].by[2]));
#endif
		;
S_236_0: /* 2 */
S_233_0: /* 2 */
		now.owed[ Index(((0+1)%3), 3) ].by[0] = 0;
#ifdef VAR_RANGES
		logval("owed[((0+1)%3)].by[0]", ((int)now.owed[ Index(((0+1)%3), 3) ].by[0]));
#endif
		;
S_234_0: /* 2 */
		now.node[ Index(((0+1)%3), 3) ].heard = 0;
#ifdef VAR_RANGES
		logval("node[((0+1)%3)].heard", ((int)now.node[ Index(((0+1)%3), 3) ].heard));
#endif
		;
S_235_0: /* 2 */
		now.node[ Index(((0+1)%3), 3) ].needed = 0;
#ifdef VAR_RANGES
		logval("node[((0+1)%3)].needed", ((int)now.node[ Index(((0+1)%3), 3) ].needed));
#endif
		;
		goto S_240_0;
S_240_0: /* 2 */
S_237_0: /* 2 */
		now.owed[ Index(((0+2)%3), 3) ].by[0] = 0;
#ifdef VAR_RANGES
		logval("owed[((0+2)%3)].by[0]", ((int)now.owed[ Index(((0+2)%3), 3) ].by[0]));
#endif
		;
S_238_0: /* 2 */
		now.node[ Index(((0+2)%3), 3) ].heard = 0;
#ifdef VAR_RANGES
		logval("node[((0+2)%3)].heard", ((int)now.node[ Index(((0+2)%3), 3) ].heard));
#endif
		;
S_239_0: /* 2 */
		now.node[ Index(((0+2)%3), 3) ].needed = 0;
#ifdef VAR_RANGES
		logval("node[((0+2)%3)].needed", ((int)now.node[ Index(((0+2)%3), 3) ].needed));
#endif
		;
		goto S_241_0;
S_241_0: /* 2 */
		now.crashes = (((int)now.crashes)+1);
#ifdef VAR_RANGES
		logval("crashes", ((int)now.crashes));
#endif
		;
S_242_0: /* 2 */
		spin_assert((((((((int)now.crashes)>=((int)quorum))||(((int)now.node[0].staged)>=((int)now.acceptedByQuorum)))||(((int)now.node[1].staged)>=((int)now.acceptedByQuorum)))||(((int)now.node[2].staged)>=((int)now.acceptedByQuorum)))||((int)accepted_lost)), "(((((crashes>=quorum)||(node[0].staged>=acceptedByQuorum))||(node[1].staged>=acceptedByQuorum))||(node[2].staged>=acceptedByQuorum))||accepted_lost)", II, tt, t);
		goto S_330_0; /* ';' */
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 20: // STATE 55 - ../../distribution.pml:282 - [D_STEP282]
		if (!(boq == -1 && ((( !(((int)now.faultsOver))&&((int)now.node[1].up))&&(((int)now.crashes)<((int)maxCrashes)))&&(((int)mortal)&(1<<1)))))
			continue;

		reached[1][55] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_245_0: /* 2 */
		if (!(((( !(((int)now.faultsOver))&&((int)now.node[1].up))&&(((int)now.crashes)<((int)maxCrashes)))&&(((int)mortal)&(1<<1)))))
			Uerror("block in d_step seq");
S_269_0: /* 2 */
S_246_0: /* 2 */
		now.node[1].up = 0;
#ifdef VAR_RANGES
		logval("node[1].up", ((int)now.node[1].up));
#endif
		;
S_247_0: /* 2 */
		now.node[1].ready = 0;
#ifdef VAR_RANGES
		logval("node[1].ready", ((int)now.node[1].ready));
#endif
		;
S_248_0: /* 2 */
		now.node[1].service = 0;
#ifdef VAR_RANGES
		logval("node[1].service", ((int)now.node[1].service));
#endif
		;
S_249_0: /* 2 */
		now.node[1].secret = 0;
#ifdef VAR_RANGES
		logval("node[1].secret", ((int)now.node[1].secret));
#endif
		;
S_250_0: /* 2 */
		now.node[1].staged = 0;
#ifdef VAR_RANGES
		logval("node[1].staged", ((int)now.node[1].staged));
#endif
		;
S_251_0: /* 2 */
		now.node[1].accepted = 0;
#ifdef VAR_RANGES
		logval("node[1].accepted", ((int)now.node[1].accepted));
#endif
		;
S_252_0: /* 2 */
		now.node[1].inForce = 0;
#ifdef VAR_RANGES
		logval("node[1].inForce", ((int)now.node[1].inForce));
#endif
		;
S_253_0: /* 2 */
		now.node[1].reports = 0;
#ifdef VAR_RANGES
		logval("node[1].reports", ((int)now.node[1].reports));
#endif
		;
S_254_0: /* 2 */
		now.node[1].heard = 0;
#ifdef VAR_RANGES
		logval("node[1].heard", ((int)now.node[1].heard));
#endif
		;
S_255_0: /* 2 */
		now.node[1].needed = 0;
#ifdef VAR_RANGES
		logval("node[1].needed", ((int)now.node[1].needed));
#endif
		;
S_256_0: /* 2 */
		now.owed[1].by[0] = 0;
#ifdef VAR_RANGES
		logval("owed[1].by[0]", ((int)now.owed[1].by[0]));
#endif
		;
S_257_0: /* 2 */
		now.owed[1].by[1] = 0;
#ifdef VAR_RANGES
		logval("owed[1].by[1]", ((int)now.owed[1].by[1]));
#endif
		;
S_258_0: /* 2 */
		now.owed[1].by[2] = 0;
#ifdef VAR_RANGES
		logval("owed[1].by[2]", ((int)now.owed[1].by[2]));
#endif
		;
S_262_0: /* 2 */
S_259_0: /* 2 */
		now.owed[ Index(((1+1)%3), 3) ].by[1] = 0;
#ifdef VAR_RANGES
		logval("owed[((1+1)%3)].by[1]", ((int)now.owed[ Index(((1+1)%3), 3) ].by[1]));
#endif
		;
S_260_0: /* 2 */
		now.node[ Index(((1+1)%3), 3) ].heard = 0;
#ifdef VAR_RANGES
		logval("node[((1+1)%3)].heard", ((int)now.node[ Index(((1+1)%3), 3) ].heard));
#endif
		;
S_261_0: /* 2 */
		now.node[ Index(((1+1)%3), 3) ].needed = 0;
#ifdef VAR_RANGES
		logval("node[((1+1)%3)].needed", ((int)now.node[ Index(((1+1)%3), 3) ].needed));
#endif
		;
		goto S_266_0;
S_266_0: /* 2 */
S_263_0: /* 2 */
		now.owed[ Index(((1+2)%3), 3) ].by[1] = 0;
#ifdef VAR_RANGES
		logval("owed[((1+2)%3)].by[1]", ((int)now.owed[ Index(((1+2)%3), 3) ].by[1]));
#endif
		;
S_264_0: /* 2 */
		now.node[ Index(((1+2)%3), 3) ].heard = 0;
#ifdef VAR_RANGES
		logval("node[((1+2)%3)].heard", ((int)now.node[ Index(((1+2)%3), 3) ].heard));
#endif
		;
S_265_0: /* 2 */
		now.node[ Index(((1+2)%3), 3) ].needed = 0;
#ifdef VAR_RANGES
		logval("node[((1+2)%3)].needed", ((int)now.node[ Index(((1+2)%3), 3) ].needed));
#endif
		;
		goto S_267_0;
S_267_0: /* 2 */
		now.crashes = (((int)now.crashes)+1);
#ifdef VAR_RANGES
		logval("crashes", ((int)now.crashes));
#endif
		;
S_268_0: /* 2 */
		spin_assert((((((((int)now.crashes)>=((int)quorum))||(((int)now.node[0].staged)>=((int)now.acceptedByQuorum)))||(((int)now.node[1].staged)>=((int)now.acceptedByQuorum)))||(((int)now.node[2].staged)>=((int)now.acceptedByQuorum)))||((int)accepted_lost)), "(((((crashes>=quorum)||(node[0].staged>=acceptedByQuorum))||(node[1].staged>=acceptedByQuorum))||(node[2].staged>=acceptedByQuorum))||accepted_lost)", II, tt, t);
		goto S_330_0; /* ';' */
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 21: // STATE 81 - ../../distribution.pml:283 - [D_STEP283]
		if (!(boq == -1 && ((( !(((int)now.faultsOver))&&((int)now.node[2].up))&&(((int)now.crashes)<((int)maxCrashes)))&&(((int)mortal)&(1<<2)))))
			continue;

		reached[1][81] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_271_0: /* 2 */
		if (!(((( !(((int)now.faultsOver))&&((int)now.node[2].up))&&(((int)now.crashes)<((int)maxCrashes)))&&(((int)mortal)&(1<<2)))))
			Uerror("block in d_step seq");
S_295_0: /* 2 */
S_272_0: /* 2 */
		now.node[2].up = 0;
#ifdef VAR_RANGES
		logval("node[2].up", ((int)now.node[2].up));
#endif
		;
S_273_0: /* 2 */
		now.node[2].ready = 0;
#ifdef VAR_RANGES
		logval("node[2].ready", ((int)now.node[2].ready));
#endif
		;
S_274_0: /* 2 */
		now.node[2].service = 0;
#ifdef VAR_RANGES
		logval("node[2].service", ((int)now.node[2].service));
#endif
		;
S_275_0: /* 2 */
		now.node[2].secret = 0;
#ifdef VAR_RANGES
		logval("node[2].secret", ((int)now.node[2].secret));
#endif
		;
S_276_0: /* 2 */
		now.node[2].staged = 0;
#ifdef VAR_RANGES
		logval("node[2].staged", ((int)now.node[2].staged));
#endif
		;
S_277_0: /* 2 */
		now.node[2].accepted = 0;
#ifdef VAR_RANGES
		logval("node[2].accepted", ((int)now.node[2].accepted));
#endif
		;
S_278_0: /* 2 */
		now.node[2].inForce = 0;
#ifdef VAR_RANGES
		logval("node[2].inForce", ((int)now.node[2].inForce));
#endif
		;
S_279_0: /* 2 */
		now.node[2].reports = 0;
#ifdef VAR_RANGES
		logval("node[2].reports", ((int)now.node[2].reports));
#endif
		;
S_280_0: /* 2 */
		now.node[2].heard = 0;
#ifdef VAR_RANGES
		logval("node[2].heard", ((int)now.node[2].heard));
#endif
		;
S_281_0: /* 2 */
		now.node[2].needed = 0;
#ifdef VAR_RANGES
		logval("node[2].needed", ((int)now.node[2].needed));
#endif
		;
S_282_0: /* 2 */
		now.owed[2].by[0] = 0;
#ifdef VAR_RANGES
		logval("owed[2].by[0]", ((int)now.owed[2].by[0]));
#endif
		;
S_283_0: /* 2 */
		now.owed[2].by[1] = 0;
#ifdef VAR_RANGES
		logval("owed[2].by[1]", ((int)now.owed[2].by[1]));
#endif
		;
S_284_0: /* 2 */
		now.owed[2].by[2] = 0;
#ifdef VAR_RANGES
		logval("owed[2].by[2]", ((int)now.owed[2].by[2]));
#endif
		;
S_288_0: /* 2 */
S_285_0: /* 2 */
		now.owed[ Index(((2+1)%3), 3) ].by[2] = 0;
#ifdef VAR_RANGES
		logval("owed[((2+1)%3)].by[2]", ((int)now.owed[ Index(((2+1)%3), 3) ].by[2]));
#endif
		;
S_286_0: /* 2 */
		now.node[ Index(((2+1)%3), 3) ].heard = 0;
#ifdef VAR_RANGES
		logval("node[((2+1)%3)].heard", ((int)now.node[ Index(((2+1)%3), 3) ].heard));
#endif
		;
S_287_0: /* 2 */
		now.node[ Index(((2+1)%3), 3) ].needed = 0;
#ifdef VAR_RANGES
		logval("node[((2+1)%3)].needed", ((int)now.node[ Index(((2+1)%3), 3) ].needed));
#endif
		;
		goto S_292_0;
S_292_0: /* 2 */
S_289_0: /* 2 */
		now.owed[ Index(((2+2)%3), 3) ].by[2] = 0;
#ifdef VAR_RANGES
		logval("owed[((2+2)%3)].by[2]", ((int)now.owed[ Index(((2+2)%3), 3) ].by[2]));
#endif
		;
S_290_0: /* 2 */
		now.node[ Index(((2+2)%3), 3) ].heard = 0;
#ifdef VAR_RANGES
		logval("node[((2+2)%3)].heard", ((int)now.node[ Index(((2+2)%3), 3) ].heard));
#endif
		;
S_291_0: /* 2 */
		now.node[ Index(((2+2)%3), 3) ].needed = 0;
#ifdef VAR_RANGES
		logval("node[((2+2)%3)].needed", ((int)now.node[ Index(((2+2)%3), 3) ].needed));
#endif
		;
		goto S_293_0;
S_293_0: /* 2 */
		now.crashes = (((int)now.crashes)+1);
#ifdef VAR_RANGES
		logval("crashes", ((int)now.crashes));
#endif
		;
S_294_0: /* 2 */
		spin_assert((((((((int)now.crashes)>=((int)quorum))||(((int)now.node[0].staged)>=((int)now.acceptedByQuorum)))||(((int)now.node[1].staged)>=((int)now.acceptedByQuorum)))||(((int)now.node[2].staged)>=((int)now.acceptedByQuorum)))||((int)accepted_lost)), "(((((crashes>=quorum)||(node[0].staged>=acceptedByQuorum))||(node[1].staged>=acceptedByQuorum))||(node[2].staged>=acceptedByQuorum))||accepted_lost)", II, tt, t);
		goto S_330_0; /* ';' */
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 22: // STATE 87 - ../../distribution.pml:284 - [D_STEP284]
		if (!(boq == -1 && ( !(((int)now.faultsOver))&& !(((int)now.node[0].up)))))
			continue;

		reached[1][87] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_297_0: /* 2 */
		if (!(( !(((int)now.faultsOver))&& !(((int)now.node[0].up)))))
			Uerror("block in d_step seq");
S_301_0: /* 2 */
S_298_0: /* 2 */
		now.node[0].up = 1;
#ifdef VAR_RANGES
		logval("node[0].up", ((int)now.node[0].up));
#endif
		;
S_299_0: /* 2 */
		now.owed[0].by[ Index(((0+1)%3), 3) ] = ((int)now.node[ Index(((0+1)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("owed[0].by[((0+1)%3)]", ((int)now.owed[0].by[ Index(((0+1)%3), 3) ]));
#endif
		;
S_300_0: /* 2 */
		now.owed[0].by[ Index(((0+2)%3), 3) ] = ((int)now.node[ Index(((0+2)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("owed[0].by[((0+2)%3)]", ((int)now.owed[0].by[ Index(((0+2)%3), 3) ]));
#endif
		;
		goto S_330_0; /* ';' */
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 23: // STATE 93 - ../../distribution.pml:285 - [D_STEP285]
		if (!(boq == -1 && ( !(((int)now.faultsOver))&& !(((int)now.node[1].up)))))
			continue;

		reached[1][93] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_303_0: /* 2 */
		if (!(( !(((int)now.faultsOver))&& !(((int)now.node[1].up)))))
			Uerror("block in d_step seq");
S_307_0: /* 2 */
S_304_0: /* 2 */
		now.node[1].up = 1;
#ifdef VAR_RANGES
		logval("node[1].up", ((int)now.node[1].up));
#endif
		;
S_305_0: /* 2 */
		now.owed[1].by[ Index(((1+1)%3), 3) ] = ((int)now.node[ Index(((1+1)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("owed[1].by[((1+1)%3)]", ((int)now.owed[1].by[ Index(((1+1)%3), 3) ]));
#endif
		;
S_306_0: /* 2 */
		now.owed[1].by[ Index(((1+2)%3), 3) ] = ((int)now.node[ Index(((1+2)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("owed[1].by[((1+2)%3)]", ((int)now.owed[1].by[ Index(((1+2)%3), 3) ]));
#endif
		;
		goto S_330_0; /* ';' */
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 24: // STATE 99 - ../../distribution.pml:286 - [D_STEP286]
		if (!(boq == -1 && ( !(((int)now.faultsOver))&& !(((int)now.node[2].up)))))
			continue;

		reached[1][99] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_309_0: /* 2 */
		if (!(( !(((int)now.faultsOver))&& !(((int)now.node[2].up)))))
			Uerror("block in d_step seq");
S_313_0: /* 2 */
S_310_0: /* 2 */
		now.node[2].up = 1;
#ifdef VAR_RANGES
		logval("node[2].up", ((int)now.node[2].up));
#endif
		;
S_311_0: /* 2 */
		now.owed[2].by[ Index(((2+1)%3), 3) ] = ((int)now.node[ Index(((2+1)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("owed[2].by[((2+1)%3)]", ((int)now.owed[2].by[ Index(((2+1)%3), 3) ]));
#endif
		;
S_312_0: /* 2 */
		now.owed[2].by[ Index(((2+2)%3), 3) ] = ((int)now.node[ Index(((2+2)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("owed[2].by[((2+2)%3)]", ((int)now.owed[2].by[ Index(((2+2)%3), 3) ]));
#endif
		;
		goto S_330_0; /* ';' */
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 25: // STATE 103 - ../../distribution.pml:287 - [D_STEP287]
		if (!(boq == -1 && (( !(((int)now.faultsOver))&& !(((int)now.cut)))&&(((int)now.cuts)<((int)maxCuts)))))
			continue;

		reached[1][103] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_315_0: /* 2 */
		if (!((( !(((int)now.faultsOver))&& !(((int)now.cut)))&&(((int)now.cuts)<((int)maxCuts)))))
			Uerror("block in d_step seq");
S_316_0: /* 2 */
		now.cut = 1;
#ifdef VAR_RANGES
		logval("cut", ((int)now.cut));
#endif
		;
S_317_0: /* 2 */
		now.cuts = (((int)now.cuts)+1);
#ifdef VAR_RANGES
		logval("cuts", ((int)now.cuts));
#endif
		;
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 26: // STATE 106 - ../../distribution.pml:288 - [D_STEP288]
		if (!(boq == -1 && ( !(((int)now.faultsOver))&&((int)now.cut))))
			continue;

		reached[1][106] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_319_0: /* 2 */
		if (!(( !(((int)now.faultsOver))&&((int)now.cut))))
			Uerror("block in d_step seq");
S_320_0: /* 2 */
		now.cut = 0;
#ifdef VAR_RANGES
		logval("cut", ((int)now.cut));
#endif
		;
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 27: // STATE 109 - ../../distribution.pml:289 - [D_STEP289]
		if (!(boq == -1 && (( !(((int)now.faultsOver))&&((int)ending))&& !(((int)now.cut)))))
			continue;

		reached[1][109] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_322_0: /* 2 */
		if (!((( !(((int)now.faultsOver))&&((int)ending))&& !(((int)now.cut)))))
			Uerror("block in d_step seq");
S_323_0: /* 2 */
		now.faultsOver = 1;
#ifdef VAR_RANGES
		logval("faultsOver", ((int)now.faultsOver));
#endif
		;
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 28: // STATE 113 - ../../distribution.pml:290 - [D_STEP290]
		if (!(boq == -1 && (( !(((int)now.faultsOver))&&((int)ending))&& !(((int)now.cut)))))
			continue;

		reached[1][113] = 1;
		reached[1][t->st] = 1;
		reached[1][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_325_0: /* 2 */
		if (!((( !(((int)now.faultsOver))&&((int)ending))&& !(((int)now.cut)))))
			Uerror("block in d_step seq");
S_326_0: /* 2 */
		now.faultsOver = 1;
#ifdef VAR_RANGES
		logval("faultsOver", ((int)now.faultsOver));
#endif
		;
S_327_0: /* 2 */
		now.sourceUp = 0;
#ifdef VAR_RANGES
		logval("sourceUp", ((int)now.sourceUp));
#endif
		;
		goto S_330_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 29: // STATE 117 - ../../distribution.pml:292 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[1][117] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Process */
	case 30: // STATE 18 - ../../distribution.pml:214 - [D_STEP214]
		if (!(boq == -1 && ((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((1<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(1==((int)now.published))))))&&((1>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service))||( !((((int)mutant)!=1))&&(1!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)))))))
			continue;

		reached[0][18] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_000_0: /* 2 */
		if (!(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((1<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(1==((int)now.published))))))&&((1>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service))||( !((((int)mutant)!=1))&&(1!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)))))))
			Uerror("block in d_step seq");
S_016_0: /* 2 */
S_001_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].service = 1;
#ifdef VAR_RANGES
		logval("node[Process:self].service", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service));
#endif
		;
S_015_0: /* 2 */
S_013_0: /* 2 */
S_002_0: /* 2 */
		if (!((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=0)&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))||( !((((int)mutant)!=1))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))))&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=8))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)!=0))))))
			goto S_013_1;
S_003_0: /* 2 */
		spin_assert(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||((int)staged_in_part)), "((node[self].service==node[self].secret)||staged_in_part)", II, tt, t);
S_004_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_011_0: /* 2 */
S_009_0: /* 2 */
S_005_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_009_1;
S_006_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_010_0;
S_009_1: /* 3 */
S_007_0: /* 2 */
		/* else */;
S_008_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_010_0;
S_009_2: /* 3 */
		Uerror("blocking sel in d_step (nr.0, near line 93)");
S_010_0: /* 2 */
		goto S_014_0;
S_013_1: /* 3 */
S_012_0: /* 2 */
		/* else */;
		goto S_014_0;
S_013_2: /* 3 */
		Uerror("blocking sel in d_step (nr.1, near line 100)");
S_014_0: /* 2 */
		goto S_213_0;
S_213_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 31: // STATE 36 - ../../distribution.pml:215 - [D_STEP215]
		if (!(boq == -1 && ((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((2<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(2==((int)now.published))))))&&((2>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service))||( !((((int)mutant)!=1))&&(2!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)))))))
			continue;

		reached[0][36] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_018_0: /* 2 */
		if (!(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((2<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(2==((int)now.published))))))&&((2>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service))||( !((((int)mutant)!=1))&&(2!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)))))))
			Uerror("block in d_step seq");
S_034_0: /* 2 */
S_019_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].service = 2;
#ifdef VAR_RANGES
		logval("node[Process:self].service", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service));
#endif
		;
S_033_0: /* 2 */
S_031_0: /* 2 */
S_020_0: /* 2 */
		if (!((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=0)&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))||( !((((int)mutant)!=1))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))))&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=8))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)!=0))))))
			goto S_031_1;
S_021_0: /* 2 */
		spin_assert(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||((int)staged_in_part)), "((node[self].service==node[self].secret)||staged_in_part)", II, tt, t);
S_022_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_029_0: /* 2 */
S_027_0: /* 2 */
S_023_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_027_1;
S_024_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_028_0;
S_027_1: /* 3 */
S_025_0: /* 2 */
		/* else */;
S_026_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_028_0;
S_027_2: /* 3 */
		Uerror("blocking sel in d_step (nr.2, near line 93)");
S_028_0: /* 2 */
		goto S_032_0;
S_031_1: /* 3 */
S_030_0: /* 2 */
		/* else */;
		goto S_032_0;
S_031_2: /* 3 */
		Uerror("blocking sel in d_step (nr.3, near line 100)");
S_032_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 32: // STATE 54 - ../../distribution.pml:216 - [D_STEP216]
		if (!(boq == -1 && ((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((3<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(3==((int)now.published))))))&&((3>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service))||( !((((int)mutant)!=1))&&(3!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)))))))
			continue;

		reached[0][54] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_036_0: /* 2 */
		if (!(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((3<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(3==((int)now.published))))))&&((3>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service))||( !((((int)mutant)!=1))&&(3!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)))))))
			Uerror("block in d_step seq");
S_052_0: /* 2 */
S_037_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].service = 3;
#ifdef VAR_RANGES
		logval("node[Process:self].service", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service));
#endif
		;
S_051_0: /* 2 */
S_049_0: /* 2 */
S_038_0: /* 2 */
		if (!((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=0)&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))||( !((((int)mutant)!=1))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))))&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=8))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)!=0))))))
			goto S_049_1;
S_039_0: /* 2 */
		spin_assert(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||((int)staged_in_part)), "((node[self].service==node[self].secret)||staged_in_part)", II, tt, t);
S_040_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_047_0: /* 2 */
S_045_0: /* 2 */
S_041_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_045_1;
S_042_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_046_0;
S_045_1: /* 3 */
S_043_0: /* 2 */
		/* else */;
S_044_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_046_0;
S_045_2: /* 3 */
		Uerror("blocking sel in d_step (nr.4, near line 93)");
S_046_0: /* 2 */
		goto S_050_0;
S_049_1: /* 3 */
S_048_0: /* 2 */
		/* else */;
		goto S_050_0;
S_049_2: /* 3 */
		Uerror("blocking sel in d_step (nr.5, near line 100)");
S_050_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 33: // STATE 72 - ../../distribution.pml:217 - [D_STEP217]
		if (!(boq == -1 && ((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((1<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(1==((int)now.published))))))&&((1>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=1))&&(1!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)))))))
			continue;

		reached[0][72] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_054_0: /* 2 */
		if (!(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((1<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(1==((int)now.published))))))&&((1>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=1))&&(1!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)))))))
			Uerror("block in d_step seq");
S_070_0: /* 2 */
S_055_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].secret = 1;
#ifdef VAR_RANGES
		logval("node[Process:self].secret", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret));
#endif
		;
S_069_0: /* 2 */
S_067_0: /* 2 */
S_056_0: /* 2 */
		if (!((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=0)&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))||( !((((int)mutant)!=1))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))))&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=8))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)!=0))))))
			goto S_067_1;
S_057_0: /* 2 */
		spin_assert(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||((int)staged_in_part)), "((node[self].service==node[self].secret)||staged_in_part)", II, tt, t);
S_058_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_065_0: /* 2 */
S_063_0: /* 2 */
S_059_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_063_1;
S_060_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_064_0;
S_063_1: /* 3 */
S_061_0: /* 2 */
		/* else */;
S_062_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_064_0;
S_063_2: /* 3 */
		Uerror("blocking sel in d_step (nr.6, near line 93)");
S_064_0: /* 2 */
		goto S_068_0;
S_067_1: /* 3 */
S_066_0: /* 2 */
		/* else */;
		goto S_068_0;
S_067_2: /* 3 */
		Uerror("blocking sel in d_step (nr.7, near line 100)");
S_068_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 34: // STATE 90 - ../../distribution.pml:218 - [D_STEP218]
		if (!(boq == -1 && ((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((2<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(2==((int)now.published))))))&&((2>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=1))&&(2!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)))))))
			continue;

		reached[0][90] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_072_0: /* 2 */
		if (!(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((2<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(2==((int)now.published))))))&&((2>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=1))&&(2!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)))))))
			Uerror("block in d_step seq");
S_088_0: /* 2 */
S_073_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].secret = 2;
#ifdef VAR_RANGES
		logval("node[Process:self].secret", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret));
#endif
		;
S_087_0: /* 2 */
S_085_0: /* 2 */
S_074_0: /* 2 */
		if (!((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=0)&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))||( !((((int)mutant)!=1))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))))&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=8))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)!=0))))))
			goto S_085_1;
S_075_0: /* 2 */
		spin_assert(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||((int)staged_in_part)), "((node[self].service==node[self].secret)||staged_in_part)", II, tt, t);
S_076_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_083_0: /* 2 */
S_081_0: /* 2 */
S_077_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_081_1;
S_078_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_082_0;
S_081_1: /* 3 */
S_079_0: /* 2 */
		/* else */;
S_080_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_082_0;
S_081_2: /* 3 */
		Uerror("blocking sel in d_step (nr.8, near line 93)");
S_082_0: /* 2 */
		goto S_086_0;
S_085_1: /* 3 */
S_084_0: /* 2 */
		/* else */;
		goto S_086_0;
S_085_2: /* 3 */
		Uerror("blocking sel in d_step (nr.9, near line 100)");
S_086_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 35: // STATE 108 - ../../distribution.pml:219 - [D_STEP219]
		if (!(boq == -1 && ((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((3<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(3==((int)now.published))))))&&((3>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=1))&&(3!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)))))))
			continue;

		reached[0][108] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_090_0: /* 2 */
		if (!(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((3<=((int)now.published))&&( !(((int)now.faultsOver))||(((int)now.sourceUp)&&(3==((int)now.published))))))&&((3>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=1))&&(3!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)))))))
			Uerror("block in d_step seq");
S_106_0: /* 2 */
S_091_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].secret = 3;
#ifdef VAR_RANGES
		logval("node[Process:self].secret", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret));
#endif
		;
S_105_0: /* 2 */
S_103_0: /* 2 */
S_092_0: /* 2 */
		if (!((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=0)&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))||( !((((int)mutant)!=1))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))))&&((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||( !((((int)mutant)!=8))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)!=0))))))
			goto S_103_1;
S_093_0: /* 2 */
		spin_assert(((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)==((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret))||((int)staged_in_part)), "((node[self].service==node[self].secret)||staged_in_part)", II, tt, t);
S_094_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_101_0: /* 2 */
S_099_0: /* 2 */
S_095_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_099_1;
S_096_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_100_0;
S_099_1: /* 3 */
S_097_0: /* 2 */
		/* else */;
S_098_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_100_0;
S_099_2: /* 3 */
		Uerror("blocking sel in d_step (nr.10, near line 93)");
S_100_0: /* 2 */
		goto S_104_0;
S_103_1: /* 3 */
S_102_0: /* 2 */
		/* else */;
		goto S_104_0;
S_103_2: /* 3 */
		Uerror("blocking sel in d_step (nr.11, near line 100)");
S_104_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 36: // STATE 119 - ../../distribution.pml:220 - [D_STEP220]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)mutant)!=6)&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0)))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))))))
			continue;

		reached[0][119] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_108_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)mutant)!=6)&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0)))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))))))
			Uerror("block in d_step seq");
S_117_0: /* 2 */
S_109_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].staged);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_116_0: /* 2 */
S_114_0: /* 2 */
S_110_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_114_1;
S_111_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_115_0;
S_114_1: /* 3 */
S_112_0: /* 2 */
		/* else */;
S_113_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_115_0;
S_114_2: /* 3 */
		Uerror("blocking sel in d_step (nr.12, near line 93)");
S_115_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 37: // STATE 130 - ../../distribution.pml:221 - [D_STEP221]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)mutant)!=6)&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0)))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))))))
			continue;

		reached[0][130] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_119_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)mutant)!=6)&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0)))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))))))
			Uerror("block in d_step seq");
S_128_0: /* 2 */
S_120_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].staged = ((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].staged);
#ifdef VAR_RANGES
		logval("node[Process:self].staged", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged));
#endif
		;
S_127_0: /* 2 */
S_125_0: /* 2 */
S_121_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))
			goto S_125_1;
S_122_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (1<<((int)((P0 *)_this)->self));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_126_0;
S_125_1: /* 3 */
S_123_0: /* 2 */
		/* else */;
S_124_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_126_0;
S_125_2: /* 3 */
		Uerror("blocking sel in d_step (nr.13, near line 93)");
S_126_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 38: // STATE 133 - ../../distribution.pml:222 - [D_STEP222]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0))))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].staged)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<((((int)((P0 *)_this)->self)+1)%3))))))))
			continue;

		reached[0][133] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_130_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0))))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].staged)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<((((int)((P0 *)_this)->self)+1)%3))))))))
			Uerror("block in d_step seq");
S_131_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)|(1<<((((int)((P0 *)_this)->self)+1)%3)));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 39: // STATE 136 - ../../distribution.pml:223 - [D_STEP223]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0))))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].staged)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<((((int)((P0 *)_this)->self)+2)%3))))))))
			continue;

		reached[0][136] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_133_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0))))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].staged)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<((((int)((P0 *)_this)->self)+2)%3))))))))
			Uerror("block in d_step seq");
S_134_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)|(1<<((((int)((P0 *)_this)->self)+2)%3)));
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 40: // STATE 145 - ../../distribution.pml:224 - [D_STEP224]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].accepted)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))))
			continue;

		reached[0][145] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_136_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].accepted)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))))
			Uerror("block in d_step seq");
S_143_0: /* 2 */
S_137_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].accepted = ((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].accepted);
#ifdef VAR_RANGES
		logval("node[Process:self].accepted", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted));
#endif
		;
S_141_0: /* 2 */
S_138_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))))
			goto S_141_1;
S_139_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_142_0;
S_141_1: /* 3 */
S_140_0: /* 2 */
		/* else */;
		goto S_142_0;
S_141_2: /* 3 */
		Uerror("blocking sel in d_step (nr.14, near line 129)");
S_142_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 41: // STATE 154 - ../../distribution.pml:225 - [D_STEP225]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].accepted)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))))
			continue;

		reached[0][154] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_145_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0))))&&(((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].accepted)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))))))
			Uerror("block in d_step seq");
S_152_0: /* 2 */
S_146_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].accepted = ((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].accepted);
#ifdef VAR_RANGES
		logval("node[Process:self].accepted", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted));
#endif
		;
S_150_0: /* 2 */
S_147_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))))
			goto S_150_1;
S_148_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_151_0;
S_150_1: /* 3 */
S_149_0: /* 2 */
		/* else */;
		goto S_151_0;
S_150_2: /* 3 */
		Uerror("blocking sel in d_step (nr.15, near line 129)");
S_151_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 42: // STATE 163 - ../../distribution.pml:226 - [D_STEP226]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0))))&& !(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].ready)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)&(1<<((((int)((P0 *)_this)->self)+1)%3))))))))
			continue;

		reached[0][163] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_154_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+1)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+1)%3)!=0))))&& !(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].ready)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)&(1<<((((int)((P0 *)_this)->self)+1)%3))))))))
			Uerror("block in d_step seq");
S_161_0: /* 2 */
S_155_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].heard = (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((((int)((P0 *)_this)->self)+1)%3)));
#ifdef VAR_RANGES
		logval("node[Process:self].heard", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard));
#endif
		;
S_159_0: /* 2 */
S_156_0: /* 2 */
		if (!((((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].inForce)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].needed))))
			goto S_159_1;
S_157_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].needed = ((int)now.node[ Index(((((int)((P0 *)_this)->self)+1)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("node[Process:self].needed", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].needed));
#endif
		;
		goto S_160_0;
S_159_1: /* 3 */
S_158_0: /* 2 */
		/* else */;
		goto S_160_0;
S_159_2: /* 3 */
		Uerror("blocking sel in d_step (nr.16, near line 137)");
S_160_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 43: // STATE 172 - ../../distribution.pml:227 - [D_STEP227]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0))))&& !(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].ready)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)&(1<<((((int)((P0 *)_this)->self)+2)%3))))))))
			continue;

		reached[0][172] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_163_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==((((int)((P0 *)_this)->self)+2)%3)))||((((int)((P0 *)_this)->self)!=0)&&(((((int)((P0 *)_this)->self)+2)%3)!=0))))&& !(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].ready)))&& !((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)&(1<<((((int)((P0 *)_this)->self)+2)%3))))))))
			Uerror("block in d_step seq");
S_170_0: /* 2 */
S_164_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].heard = (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((((int)((P0 *)_this)->self)+2)%3)));
#ifdef VAR_RANGES
		logval("node[Process:self].heard", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard));
#endif
		;
S_168_0: /* 2 */
S_165_0: /* 2 */
		if (!((((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].inForce)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].needed))))
			goto S_168_1;
S_166_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].needed = ((int)now.node[ Index(((((int)((P0 *)_this)->self)+2)%3), 3) ].inForce);
#ifdef VAR_RANGES
		logval("node[Process:self].needed", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].needed));
#endif
		;
		goto S_169_0;
S_168_1: /* 3 */
S_167_0: /* 2 */
		/* else */;
		goto S_169_0;
S_168_2: /* 3 */
		Uerror("blocking sel in d_step (nr.17, near line 137)");
S_169_0: /* 2 */
		goto S_213_0; /* '.' */
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 44: // STATE 193 - ../../distribution.pml:228 - [D_STEP228]
		if (!(boq == -1 && (((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((int)mutant)!=10)||(((int)((P0 *)_this)->self)==0)))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)))&&((((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&1)+((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)>>1)&1))+((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)>>2)&1))>=((int)quorum))|| !((((int)mutant)!=5)))||((((int)mutant)!=7)&&((( !((((int)now.node[0].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==0))||((((int)((P0 *)_this)->self)!=0)&&(0!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<0)))&&( !((((int)now.node[1].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==1))||((((int)((P0 *)_this)->self)!=0)&&(1!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<1))))&&( !((((int)now.node[2].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==2))||((((int)((P0 *)_this)->self)!=0)&&(2!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<2)))))))))
			continue;

		reached[0][193] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_172_0: /* 2 */
		if (!((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((((int)mutant)!=10)||(((int)((P0 *)_this)->self)==0)))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted)))&&((((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&1)+((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)>>1)&1))+((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)>>2)&1))>=((int)quorum))|| !((((int)mutant)!=5)))||((((int)mutant)!=7)&&((( !((((int)now.node[0].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==0))||((((int)((P0 *)_this)->self)!=0)&&(0!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<0)))&&( !((((int)now.node[1].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==1))||((((int)((P0 *)_this)->self)!=0)&&(1!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<1))))&&( !((((int)now.node[2].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==2))||((((int)((P0 *)_this)->self)!=0)&&(2!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<2)))))))))
			Uerror("block in d_step seq");
S_191_0: /* 2 */
S_187_0: /* 2 */
S_173_0: /* 2 */
		if (!((((((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&1)+((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)>>1)&1))+((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)>>2)&1))>=((int)quorum))|| !(((((int)mutant)!=7)&&((( !((((int)now.node[0].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==0))||((((int)((P0 *)_this)->self)!=0)&&(0!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<0)))&&( !((((int)now.node[1].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==1))||((((int)((P0 *)_this)->self)!=0)&&(1!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<1))))&&( !((((int)now.node[2].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==2))||((((int)((P0 *)_this)->self)!=0)&&(2!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports)&(1<<2)))))))))
			goto S_187_1;
S_174_0: /* 2 */
		spin_assert(((((((((int)now.node[0].staged)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged))+(((int)now.node[1].staged)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))+(((int)now.node[2].staged)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)))+((int)now.crashes))>=((int)quorum))||((int)too_few_holders)), "((((((node[0].staged>=node[self].staged)+(node[1].staged>=node[self].staged))+(node[2].staged>=node[self].staged))+crashes)>=quorum)||too_few_holders)", II, tt, t);
S_178_0: /* 2 */
S_175_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.acceptedByQuorum))))
			goto S_178_1;
S_176_0: /* 2 */
		now.acceptedByQuorum = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged);
#ifdef VAR_RANGES
		logval("acceptedByQuorum", ((int)now.acceptedByQuorum));
#endif
		;
		goto S_179_0;
S_178_1: /* 3 */
S_177_0: /* 2 */
		/* else */;
		goto S_179_0;
S_178_2: /* 3 */
		Uerror("blocking sel in d_step (nr.18, near line 152)");
S_179_0: /* 2 */
		goto S_188_0;
S_187_1: /* 3 */
S_180_0: /* 2 */
		/* else */;
S_181_0: /* 2 */
		spin_assert(( !(((((int)witness)==2)&&((int)now.cut)))||((int)witness_found)), "( !(((witness==2)&&cut))||witness_found)", II, tt, t);
S_185_0: /* 2 */
S_182_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)>((int)now.acceptedByFewer))))
			goto S_185_1;
S_183_0: /* 2 */
		now.acceptedByFewer = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged);
#ifdef VAR_RANGES
		logval("acceptedByFewer", ((int)now.acceptedByFewer));
#endif
		;
		goto S_186_0;
S_185_1: /* 3 */
S_184_0: /* 2 */
		/* else */;
		goto S_186_0;
S_185_2: /* 3 */
		Uerror("blocking sel in d_step (nr.19, near line 158)");
S_186_0: /* 2 */
		goto S_188_0;
S_187_2: /* 3 */
		Uerror("blocking sel in d_step (nr.20, near line 147)");
S_188_0: /* 2 */
S_189_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].accepted = ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged);
#ifdef VAR_RANGES
		logval("node[Process:self].accepted", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted));
#endif
		;
S_190_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].reports = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].reports", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].reports));
#endif
		;
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 45: // STATE 201 - ../../distribution.pml:229 - [D_STEP229]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )!=0)&&((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce))||( !((((int)mutant)!=1))&&(( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)))))&&((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )<=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))|| !((((int)mutant)!=3)))))))
			continue;

		reached[0][201] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_193_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&(((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )!=0)&&((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce))||( !((((int)mutant)!=1))&&(( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )!=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)))))&&((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )<=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].accepted))|| !((((int)mutant)!=3)))))))
			Uerror("block in d_step seq");
S_199_0: /* 2 */
S_194_0: /* 2 */
		spin_assert(( !((((((int)witness)==3)&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)==1))&&(( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )==3)))||((int)witness_found)), "( !((((witness==3)&&(node[self].inForce==1))&&(( ((mutant!=2)) ? (node[self].staged) : (node[self].service) )==3)))||witness_found)", II, tt, t);
S_195_0: /* 2 */
		spin_assert(((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )>((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce))||((int)moved_back)), "((( ((mutant!=2)) ? (node[self].staged) : (node[self].service) )>node[self].inForce)||moved_back)", II, tt, t);
S_196_0: /* 2 */
		spin_assert(((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )==( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].secret)) ))||((int)activated_in_part)), "((( ((mutant!=2)) ? (node[self].staged) : (node[self].service) )==( ((mutant!=2)) ? (node[self].staged) : (node[self].secret) ))||activated_in_part)", II, tt, t);
S_197_0: /* 2 */
		spin_assert((((( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )<=((int)now.acceptedByQuorum))||(( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) )<=((int)now.acceptedByFewer)))||((int)not_accepted)), "(((( ((mutant!=2)) ? (node[self].staged) : (node[self].service) )<=acceptedByQuorum)||(( ((mutant!=2)) ? (node[self].staged) : (node[self].service) )<=acceptedByFewer))||not_accepted)", II, tt, t);
S_198_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].inForce = ( ((((int)mutant)!=2)) ? (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].staged)) : (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].service)) );
#ifdef VAR_RANGES
		logval("node[Process:self].inForce", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce));
#endif
		;
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 46: // STATE 212 - ../../distribution.pml:230 - [D_STEP230]
		if (!(boq == -1 && (((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((( !(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].ready))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)!=0))&&(( !((((int)mutant)!=4))||((((int)mutant)!=9)&&((( !((((int)now.node[0].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==0))||((((int)((P0 *)_this)->self)!=0)&&(0!=0)))))||((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((int)((P0 *)_this)->self)))&(1<<0)))&&( !((((int)now.node[1].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==1))||((((int)((P0 *)_this)->self)!=0)&&(1!=0)))))||((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((int)((P0 *)_this)->self)))&(1<<1))))&&( !((((int)now.node[2].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==2))||((((int)((P0 *)_this)->self)!=0)&&(2!=0)))))||((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((int)((P0 *)_this)->self)))&(1<<2))))))||( !((((int)mutant)!=9))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)!=0))))&&( !((((int)mutant)!=4))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].needed)))))))
			continue;

		reached[0][212] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_201_0: /* 2 */
		if (!((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].up)&&((( !(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].ready))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)!=0))&&(( !((((int)mutant)!=4))||((((int)mutant)!=9)&&((( !((((int)now.node[0].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==0))||((((int)((P0 *)_this)->self)!=0)&&(0!=0)))))||((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((int)((P0 *)_this)->self)))&(1<<0)))&&( !((((int)now.node[1].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==1))||((((int)((P0 *)_this)->self)!=0)&&(1!=0)))))||((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((int)((P0 *)_this)->self)))&(1<<1))))&&( !((((int)now.node[2].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==2))||((((int)((P0 *)_this)->self)!=0)&&(2!=0)))))||((((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)|(1<<((int)((P0 *)_this)->self)))&(1<<2))))))||( !((((int)mutant)!=9))&&(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard)!=0))))&&( !((((int)mutant)!=4))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)>=((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].needed)))))))
			Uerror("block in d_step seq");
S_210_0: /* 2 */
S_202_0: /* 2 */
		spin_assert(( !((((((int)witness)==1)&&(((int)now.crashes)==2))&&(((int)now.owed[ Index(((int)((P0 *)_this)->self), 3) ].by[2])==2)))||((int)witness_found)), "( !((((witness==1)&&(crashes==2))&&(owed[self].by[2]==2)))||witness_found)", II, tt, t);
S_203_0: /* 2 */
		spin_assert((((( !((((int)now.node[0].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==0))||((((int)((P0 *)_this)->self)!=0)&&(0!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)>=((int)now.owed[ Index(((int)((P0 *)_this)->self), 3) ].by[0])))&&( !((((int)now.node[1].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==1))||((((int)((P0 *)_this)->self)!=0)&&(1!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)>=((int)now.owed[ Index(((int)((P0 *)_this)->self), 3) ].by[1]))))&&( !((((int)now.node[2].up)&&(( !(((int)now.cut))||(((int)((P0 *)_this)->self)==2))||((((int)((P0 *)_this)->self)!=0)&&(2!=0)))))||(((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].inForce)>=((int)now.owed[ Index(((int)((P0 *)_this)->self), 3) ].by[2]))))||((int)ready_behind)), "(((( !((node[0].up&&(( !(cut)||(self==0))||((self!=0)&&(0!=0)))))||(node[self].inForce>=owed[self].by[0]))&&( !((node[1].up&&(( !(cut)||(self==1))||((self!=0)&&(1!=0)))))||(node[self].inForce>=owed[self].by[1])))&&( !((node[2].up&&(( !(cut)||(self==2))||((self!=0)&&(2!=0)))))||(node[self].inForce>=owed[self].by[2])))||ready_behind)", II, tt, t);
S_204_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].ready = 1;
#ifdef VAR_RANGES
		logval("node[Process:self].ready", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].ready));
#endif
		;
S_205_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].heard = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].heard", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].heard));
#endif
		;
S_206_0: /* 2 */
		now.node[ Index(((P0 *)_this)->self, 3) ].needed = 0;
#ifdef VAR_RANGES
		logval("node[Process:self].needed", ((int)now.node[ Index(((int)((P0 *)_this)->self), 3) ].needed));
#endif
		;
S_207_0: /* 2 */
		now.owed[ Index(((P0 *)_this)->self, 3) ].by[0] = 0;
#ifdef VAR_RANGES
		logval("owed[Process:self].by[0]", ((int)now.owed[ Index(((int)((P0 *)_this)->self), 3) ].by[0]));
#endif
		;
S_208_0: /* 2 */
		now.owed[ Index(((P0 *)_this)->self, 3) ].by[1] = 0;
#ifdef VAR_RANGES
		logval("owed[Process:self].by[1]", ((int)now.owed[ Index(((int)((P0 *)_this)->self), 3) ].by[1]));
#endif
		;
S_209_0: /* 2 */
		now.owed[ Index(((P0 *)_this)->self, 3) ].by[2] = 0;
#ifdef VAR_RANGES
		logval("owed[Process:self].by[2]", ((int)now.owed[ Index(((int)((P0 *)_this)->self), 3) ].by[2]));
#endif
		;
		goto S_213_0; /* ';' */
		goto S_213_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 47: // STATE 216 - ../../distribution.pml:232 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][216] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

