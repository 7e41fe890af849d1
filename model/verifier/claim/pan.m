			continue;

		reached[0][634] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_541_0: /* 2 */
		if (!(((((1!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[1].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=((int)now.replica[1].life))||(((int)now.replica[1].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))))))))
			Uerror("block in d_step seq");
S_632_0: /* 2 */
S_547_0: /* 2 */
S_545_0: /* 2 */
S_542_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)>((int)now.replica[1].known[ Index(((int)((P0 *)_this)->self), 4) ]))))
			goto S_545_1;
S_543_0: /* 2 */
		now.replica[1].known[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("replica[1].known[Node:self]", ((int)now.replica[1].known[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
		goto S_546_0;
S_545_1: /* 3 */
S_544_0: /* 2 */
		/* else */;
		goto S_546_0;
S_545_2: /* 3 */
		Uerror("blocking sel in d_step (nr.75, near line 154)");
S_546_0: /* 2 */
		goto S_553_0;
S_553_0: /* 2 */
S_551_0: /* 2 */
S_548_0: /* 2 */
		if (!((((int)now.replica[1].life)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))
			goto S_551_1;
S_549_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[1] = ((int)now.replica[1].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]));
#endif
		;
		goto S_552_0;
S_551_1: /* 3 */
S_550_0: /* 2 */
		/* else */;
		goto S_552_0;
S_551_2: /* 3 */
		Uerror("blocking sel in d_step (nr.76, near line 154)");
S_552_0: /* 2 */
		goto S_559_0;
S_559_0: /* 2 */
S_557_0: /* 2 */
S_554_0: /* 2 */
		if (!((((int)now.replica[1].known[0])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]))))
			goto S_557_1;
S_555_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[0] = ((int)now.replica[1].known[0]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]));
#endif
		;
		goto S_558_0;
S_557_1: /* 3 */
S_556_0: /* 2 */
		/* else */;
		goto S_558_0;
S_557_2: /* 3 */
		Uerror("blocking sel in d_step (nr.77, near line 154)");
S_558_0: /* 2 */
		goto S_565_0;
S_565_0: /* 2 */
S_563_0: /* 2 */
S_560_0: /* 2 */
		if (!((((int)now.replica[1].known[1])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))
			goto S_563_1;
S_561_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[1] = ((int)now.replica[1].known[1]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]));
#endif
		;
		goto S_564_0;
S_563_1: /* 3 */
S_562_0: /* 2 */
		/* else */;
		goto S_564_0;
S_563_2: /* 3 */
		Uerror("blocking sel in d_step (nr.78, near line 154)");
S_564_0: /* 2 */
		goto S_571_0;
S_571_0: /* 2 */
S_569_0: /* 2 */
S_566_0: /* 2 */
		if (!((((int)now.replica[1].known[2])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))
			goto S_569_1;
S_567_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[2] = ((int)now.replica[1].known[2]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]));
#endif
		;
		goto S_570_0;
S_569_1: /* 3 */
S_568_0: /* 2 */
		/* else */;
		goto S_570_0;
S_569_2: /* 3 */
		Uerror("blocking sel in d_step (nr.79, near line 154)");
S_570_0: /* 2 */
		goto S_577_0;
S_577_0: /* 2 */
S_575_0: /* 2 */
S_572_0: /* 2 */
		if (!((((int)now.replica[1].known[3])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))
			goto S_575_1;
S_573_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[3] = ((int)now.replica[1].known[3]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]));
#endif
		;
		goto S_576_0;
S_575_1: /* 3 */
S_574_0: /* 2 */
		/* else */;
		goto S_576_0;
S_575_2: /* 3 */
		Uerror("blocking sel in d_step (nr.80, near line 154)");
S_576_0: /* 2 */
		goto S_602_0;
S_602_0: /* 2 */
S_578_0: /* 2 */
		if (!( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))))
			goto S_602_1;
S_600_0: /* 2 */
S_583_0: /* 2 */
S_579_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<((int)now.replica[1].promised))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==((int)now.replica[1].promised))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<((int)now.replica[1].to))))))
			goto S_583_1;
S_580_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = ((int)now.replica[1].promised);
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_581_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ((int)now.replica[1].to);
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
		goto S_584_0;
S_583_1: /* 3 */
S_582_0: /* 2 */
		/* else */;
		goto S_584_0;
S_583_2: /* 3 */
		Uerror("blocking sel in d_step (nr.81, near line 130)");
S_584_0: /* 2 */
S_585_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)||((int)now.replica[1].unsure));
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
S_598_0: /* 2 */
S_586_0: /* 2 */
		if (!((((int)now.replica[1].holder)==0)))
			goto S_598_1;
		goto S_599_0;
S_598_1: /* 3 */
S_587_0: /* 2 */
		if (!(((((int)now.replica[1].holder)!=0)&&(((int)now.replica[1].holder)==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_598_2;
S_588_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ( ((((int)now.replica[1].round)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round))) ? (((int)now.replica[1].round)) : (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)) );
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_599_0;
S_598_2: /* 3 */
S_589_0: /* 2 */
		if (!(((((int)now.replica[1].holder)!=0)&&(((int)now.replica[1].holder)!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_598_3;
S_596_0: /* 2 */
S_590_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==0)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)<((int)now.replica[1].round))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==((int)now.replica[1].round))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)<((int)now.replica[1].holder)))))))
			goto S_596_1;
S_591_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = ((int)now.replica[1].holder);
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_592_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ((int)now.replica[1].round);
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_597_0;
S_596_1: /* 3 */
S_593_0: /* 2 */
		if (!((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==0))&&(((int)now.replica[1].round)==0))))
			goto S_596_2;
S_594_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)mutant)!=6);
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
		goto S_597_0;
S_596_2: /* 3 */
S_595_0: /* 2 */
		/* else */;
		goto S_597_0;
S_596_3: /* 3 */
		Uerror("blocking sel in d_step (nr.82, near line 142)");
S_597_0: /* 2 */
		goto S_599_0;
S_598_3: /* 3 */
		Uerror("blocking sel in d_step (nr.83, near line 137)");
S_599_0: /* 2 */
		goto S_603_0;
S_602_1: /* 3 */
S_601_0: /* 2 */
		/* else */;
		goto S_603_0;
S_602_2: /* 3 */
		Uerror("blocking sel in d_step (nr.84, near line 172)");
S_603_0: /* 2 */
S_604_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[1] = ((int)now.replica[1].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].source[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1]));
#endif
		;
S_609_0: /* 2 */
S_605_0: /* 2 */
		if (!(((int)now.replica[1].able)))
			goto S_609_1;
S_606_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)|(1<<1));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_610_0;
S_609_1: /* 3 */
S_607_0: /* 2 */
		/* else */;
S_608_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)& ~((1<<1)));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_610_0;
S_609_2: /* 3 */
		Uerror("blocking sel in d_step (nr.85, near line 177)");
S_610_0: /* 2 */
S_631_0: /* 2 */
S_614_0: /* 2 */
S_611_0: /* 2 */
		if (!(( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))&&( ((((int)now.settled)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest))) ? ((((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))+((((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<3))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : ((((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<0))|| !((((int)mutant)!=11))))+((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11)))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) ))))
			goto S_614_1;
S_612_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].able = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].able", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able));
#endif
		;
		goto S_615_0;
S_614_1: /* 3 */
S_613_0: /* 2 */
		/* else */;
		goto S_615_0;
S_614_2: /* 3 */
		Uerror("blocking sel in d_step (nr.86, near line 103)");
S_615_0: /* 2 */
S_619_0: /* 2 */
S_616_0: /* 2 */
		if (!(( (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)) ? (((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))+(((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : (((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))+(((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) )))
			goto S_619_1;
S_617_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].announced = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].announced", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced));
#endif
		;
		goto S_620_0;
S_619_1: /* 3 */
S_618_0: /* 2 */
		/* else */;
		goto S_620_0;
S_619_2: /* 3 */
		Uerror("blocking sel in d_step (nr.87, near line 107)");
S_620_0: /* 2 */
S_629_0: /* 2 */
S_621_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))
			goto S_629_1;
S_627_0: /* 2 */
S_622_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0]));
#endif
		;
S_623_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1]));
#endif
		;
S_624_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2]));
#endif
		;
S_625_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3]));
#endif
		;
S_626_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_630_0;
S_629_1: /* 3 */
S_628_0: /* 2 */
		/* else */;
		goto S_630_0;
S_629_2: /* 3 */
		Uerror("blocking sel in d_step (nr.88, near line 111)");
S_630_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 54: // STATE 727 - ../../claim.pml:305 - [D_STEP305]
		if (!(boq == -1 && ((((2!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[2].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=((int)now.replica[2].life))||(((int)now.replica[2].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))))))))
			continue;

		reached[0][727] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_634_0: /* 2 */
		if (!(((((2!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[2].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=((int)now.replica[2].life))||(((int)now.replica[2].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))))))))
			Uerror("block in d_step seq");
S_725_0: /* 2 */
S_640_0: /* 2 */
S_638_0: /* 2 */
S_635_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)>((int)now.replica[2].known[ Index(((int)((P0 *)_this)->self), 4) ]))))
			goto S_638_1;
S_636_0: /* 2 */
		now.replica[2].known[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("replica[2].known[Node:self]", ((int)now.replica[2].known[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
		goto S_639_0;
S_638_1: /* 3 */
S_637_0: /* 2 */
		/* else */;
		goto S_639_0;
S_638_2: /* 3 */
		Uerror("blocking sel in d_step (nr.89, near line 154)");
S_639_0: /* 2 */
		goto S_646_0;
S_646_0: /* 2 */
S_644_0: /* 2 */
S_641_0: /* 2 */
		if (!((((int)now.replica[2].life)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))
			goto S_644_1;
S_642_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[2] = ((int)now.replica[2].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]));
#endif
		;
		goto S_645_0;
S_644_1: /* 3 */
S_643_0: /* 2 */
		/* else */;
		goto S_645_0;
S_644_2: /* 3 */
		Uerror("blocking sel in d_step (nr.90, near line 154)");
S_645_0: /* 2 */
		goto S_652_0;
S_652_0: /* 2 */
S_650_0: /* 2 */
S_647_0: /* 2 */
		if (!((((int)now.replica[2].known[0])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]))))
			goto S_650_1;
S_648_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[0] = ((int)now.replica[2].known[0]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]));
#endif
		;
		goto S_651_0;
S_650_1: /* 3 */
S_649_0: /* 2 */
		/* else */;
		goto S_651_0;
S_650_2: /* 3 */
		Uerror("blocking sel in d_step (nr.91, near line 154)");
S_651_0: /* 2 */
		goto S_658_0;
S_658_0: /* 2 */
S_656_0: /* 2 */
S_653_0: /* 2 */
		if (!((((int)now.replica[2].known[1])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))
			goto S_656_1;
S_654_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[1] = ((int)now.replica[2].known[1]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]));
#endif
		;
		goto S_657_0;
S_656_1: /* 3 */
S_655_0: /* 2 */
		/* else */;
		goto S_657_0;
S_656_2: /* 3 */
		Uerror("blocking sel in d_step (nr.92, near line 154)");
S_657_0: /* 2 */
		goto S_664_0;
S_664_0: /* 2 */
S_662_0: /* 2 */
S_659_0: /* 2 */
		if (!((((int)now.replica[2].known[2])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))
			goto S_662_1;
S_660_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[2] = ((int)now.replica[2].known[2]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]));
#endif
		;
		goto S_663_0;
S_662_1: /* 3 */
S_661_0: /* 2 */
		/* else */;
		goto S_663_0;
S_662_2: /* 3 */
		Uerror("blocking sel in d_step (nr.93, near line 154)");
S_663_0: /* 2 */
		goto S_670_0;
S_670_0: /* 2 */
S_668_0: /* 2 */
S_665_0: /* 2 */
		if (!((((int)now.replica[2].known[3])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))
			goto S_668_1;
S_666_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[3] = ((int)now.replica[2].known[3]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]));
#endif
		;
		goto S_669_0;
S_668_1: /* 3 */
S_667_0: /* 2 */
		/* else */;
		goto S_669_0;
S_668_2: /* 3 */
		Uerror("blocking sel in d_step (nr.94, near line 154)");
S_669_0: /* 2 */
		goto S_695_0;
S_695_0: /* 2 */
S_671_0: /* 2 */
		if (!( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))))
			goto S_695_1;
S_693_0: /* 2 */
S_676_0: /* 2 */
S_672_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<((int)now.replica[2].promised))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==((int)now.replica[2].promised))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<((int)now.replica[2].to))))))
			goto S_676_1;
S_673_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = ((int)now.replica[2].promised);
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_674_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ((int)now.replica[2].to);
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
		goto S_677_0;
S_676_1: /* 3 */
S_675_0: /* 2 */
		/* else */;
		goto S_677_0;
S_676_2: /* 3 */
		Uerror("blocking sel in d_step (nr.95, near line 130)");
S_677_0: /* 2 */
S_678_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)||((int)now.replica[2].unsure));
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
S_691_0: /* 2 */
S_679_0: /* 2 */
		if (!((((int)now.replica[2].holder)==0)))
			goto S_691_1;
		goto S_692_0;
S_691_1: /* 3 */
S_680_0: /* 2 */
		if (!(((((int)now.replica[2].holder)!=0)&&(((int)now.replica[2].holder)==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_691_2;
S_681_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ( ((((int)now.replica[2].round)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round))) ? (((int)now.replica[2].round)) : (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)) );
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_692_0;
S_691_2: /* 3 */
S_682_0: /* 2 */
		if (!(((((int)now.replica[2].holder)!=0)&&(((int)now.replica[2].holder)!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_691_3;
S_689_0: /* 2 */
S_683_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==0)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)<((int)now.replica[2].round))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==((int)now.replica[2].round))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)<((int)now.replica[2].holder)))))))
			goto S_689_1;
S_684_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = ((int)now.replica[2].holder);
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_685_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ((int)now.replica[2].round);
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_690_0;
S_689_1: /* 3 */
S_686_0: /* 2 */
		if (!((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==0))&&(((int)now.replica[2].round)==0))))
			goto S_689_2;
S_687_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)mutant)!=6);
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
		goto S_690_0;
S_689_2: /* 3 */
S_688_0: /* 2 */
		/* else */;
		goto S_690_0;
S_689_3: /* 3 */
		Uerror("blocking sel in d_step (nr.96, near line 142)");
S_690_0: /* 2 */
		goto S_692_0;
S_691_3: /* 3 */
		Uerror("blocking sel in d_step (nr.97, near line 137)");
S_692_0: /* 2 */
		goto S_696_0;
S_695_1: /* 3 */
S_694_0: /* 2 */
		/* else */;
		goto S_696_0;
S_695_2: /* 3 */
		Uerror("blocking sel in d_step (nr.98, near line 172)");
S_696_0: /* 2 */
S_697_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[2] = ((int)now.replica[2].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].source[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2]));
#endif
		;
S_702_0: /* 2 */
S_698_0: /* 2 */
		if (!(((int)now.replica[2].able)))
			goto S_702_1;
S_699_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)|(1<<2));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_703_0;
S_702_1: /* 3 */
S_700_0: /* 2 */
		/* else */;
S_701_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)& ~((1<<2)));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_703_0;
S_702_2: /* 3 */
		Uerror("blocking sel in d_step (nr.99, near line 177)");
S_703_0: /* 2 */
S_724_0: /* 2 */
S_707_0: /* 2 */
S_704_0: /* 2 */
		if (!(( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))&&( ((((int)now.settled)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest))) ? ((((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))+((((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<3))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : ((((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<0))|| !((((int)mutant)!=11))))+((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11)))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) ))))
			goto S_707_1;
S_705_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].able = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].able", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able));
#endif
		;
		goto S_708_0;
S_707_1: /* 3 */
S_706_0: /* 2 */
		/* else */;
		goto S_708_0;
S_707_2: /* 3 */
		Uerror("blocking sel in d_step (nr.100, near line 103)");
S_708_0: /* 2 */
S_712_0: /* 2 */
S_709_0: /* 2 */
		if (!(( (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)) ? (((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))+(((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : (((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))+(((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) )))
			goto S_712_1;
S_710_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].announced = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].announced", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced));
#endif
		;
		goto S_713_0;
S_712_1: /* 3 */
S_711_0: /* 2 */
		/* else */;
		goto S_713_0;
S_712_2: /* 3 */
		Uerror("blocking sel in d_step (nr.101, near line 107)");
S_713_0: /* 2 */
S_722_0: /* 2 */
S_714_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))
			goto S_722_1;
S_720_0: /* 2 */
S_715_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0]));
#endif
		;
S_716_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1]));
#endif
		;
S_717_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2]));
#endif
		;
S_718_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3]));
#endif
		;
S_719_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_723_0;
S_722_1: /* 3 */
S_721_0: /* 2 */
		/* else */;
		goto S_723_0;
S_722_2: /* 3 */
		Uerror("blocking sel in d_step (nr.102, near line 111)");
S_723_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 55: // STATE 820 - ../../claim.pml:306 - [D_STEP306]
		if (!(boq == -1 && ((((3!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[3].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=((int)now.replica[3].life))||(((int)now.replica[3].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<3))))))))
			continue;

		reached[0][820] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_727_0: /* 2 */
		if (!(((((3!=((int)((P0 *)_this)->self))&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)==((int)now.replica[3].latest)))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=((int)now.replica[3].life))||(((int)now.replica[3].able)&& !((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<3))))))))
			Uerror("block in d_step seq");
S_818_0: /* 2 */
S_733_0: /* 2 */
S_731_0: /* 2 */
S_728_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)>((int)now.replica[3].known[ Index(((int)((P0 *)_this)->self), 4) ]))))
			goto S_731_1;
S_729_0: /* 2 */
		now.replica[3].known[ Index(((P0 *)_this)->self, 4) ] = ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life);
#ifdef VAR_RANGES
		logval("replica[3].known[Node:self]", ((int)now.replica[3].known[ Index(((int)((P0 *)_this)->self), 4) ]));
#endif
		;
		goto S_732_0;
S_731_1: /* 3 */
S_730_0: /* 2 */
		/* else */;
		goto S_732_0;
S_731_2: /* 3 */
		Uerror("blocking sel in d_step (nr.103, near line 154)");
S_732_0: /* 2 */
		goto S_739_0;
S_739_0: /* 2 */
S_737_0: /* 2 */
S_734_0: /* 2 */
		if (!((((int)now.replica[3].life)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))
			goto S_737_1;
S_735_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[3] = ((int)now.replica[3].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]));
#endif
		;
		goto S_738_0;
S_737_1: /* 3 */
S_736_0: /* 2 */
		/* else */;
		goto S_738_0;
S_737_2: /* 3 */
		Uerror("blocking sel in d_step (nr.104, near line 154)");
S_738_0: /* 2 */
		goto S_745_0;
S_745_0: /* 2 */
S_743_0: /* 2 */
S_740_0: /* 2 */
		if (!((((int)now.replica[3].known[0])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]))))
			goto S_743_1;
S_741_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[0] = ((int)now.replica[3].known[0]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]));
#endif
		;
		goto S_744_0;
S_743_1: /* 3 */
S_742_0: /* 2 */
		/* else */;
		goto S_744_0;
S_743_2: /* 3 */
		Uerror("blocking sel in d_step (nr.105, near line 154)");
S_744_0: /* 2 */
		goto S_751_0;
S_751_0: /* 2 */
S_749_0: /* 2 */
S_746_0: /* 2 */
		if (!((((int)now.replica[3].known[1])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))
			goto S_749_1;
S_747_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[1] = ((int)now.replica[3].known[1]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]));
#endif
		;
		goto S_750_0;
S_749_1: /* 3 */
S_748_0: /* 2 */
		/* else */;
		goto S_750_0;
S_749_2: /* 3 */
		Uerror("blocking sel in d_step (nr.106, near line 154)");
S_750_0: /* 2 */
		goto S_757_0;
S_757_0: /* 2 */
S_755_0: /* 2 */
S_752_0: /* 2 */
		if (!((((int)now.replica[3].known[2])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))
			goto S_755_1;
S_753_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[2] = ((int)now.replica[3].known[2]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]));
#endif
		;
		goto S_756_0;
S_755_1: /* 3 */
S_754_0: /* 2 */
		/* else */;
		goto S_756_0;
S_755_2: /* 3 */
		Uerror("blocking sel in d_step (nr.107, near line 154)");
S_756_0: /* 2 */
		goto S_763_0;
S_763_0: /* 2 */
S_761_0: /* 2 */
S_758_0: /* 2 */
		if (!((((int)now.replica[3].known[3])>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))
			goto S_761_1;
S_759_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[3] = ((int)now.replica[3].known[3]);
#ifdef VAR_RANGES
		logval("replica[Node:self].known[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]));
#endif
		;
		goto S_762_0;
S_761_1: /* 3 */
S_760_0: /* 2 */
		/* else */;
		goto S_762_0;
S_761_2: /* 3 */
		Uerror("blocking sel in d_step (nr.108, near line 154)");
S_762_0: /* 2 */
		goto S_788_0;
S_788_0: /* 2 */
S_764_0: /* 2 */
		if (!( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))))
			goto S_788_1;
S_786_0: /* 2 */
S_769_0: /* 2 */
S_765_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)<((int)now.replica[3].promised))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)==((int)now.replica[3].promised))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to)<((int)now.replica[3].to))))))
			goto S_769_1;
S_766_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = ((int)now.replica[3].promised);
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_767_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = ((int)now.replica[3].to);
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
		goto S_770_0;
S_769_1: /* 3 */
S_768_0: /* 2 */
		/* else */;
		goto S_770_0;
S_769_2: /* 3 */
		Uerror("blocking sel in d_step (nr.109, near line 130)");
S_770_0: /* 2 */
S_771_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure)||((int)now.replica[3].unsure));
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
S_784_0: /* 2 */
S_772_0: /* 2 */
		if (!((((int)now.replica[3].holder)==0)))
			goto S_784_1;
		goto S_785_0;
S_784_1: /* 3 */
S_773_0: /* 2 */
		if (!(((((int)now.replica[3].holder)!=0)&&(((int)now.replica[3].holder)==((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_784_2;
S_774_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ( ((((int)now.replica[3].round)>((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round))) ? (((int)now.replica[3].round)) : (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)) );
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_785_0;
S_784_2: /* 3 */
S_775_0: /* 2 */
		if (!(((((int)now.replica[3].holder)!=0)&&(((int)now.replica[3].holder)!=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)))))
			goto S_784_3;
S_782_0: /* 2 */
S_776_0: /* 2 */
		if (!(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)==0)||((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)<((int)now.replica[3].round))||(((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==((int)now.replica[3].round))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)<((int)now.replica[3].holder)))))))
			goto S_782_1;
S_777_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = ((int)now.replica[3].holder);
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_778_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = ((int)now.replica[3].round);
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
		goto S_783_0;
S_782_1: /* 3 */
S_779_0: /* 2 */
		if (!((((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder)!=0)&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round)==0))&&(((int)now.replica[3].round)==0))))
			goto S_782_2;
S_780_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = (((int)mutant)!=6);
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
		goto S_783_0;
S_782_2: /* 3 */
S_781_0: /* 2 */
		/* else */;
		goto S_783_0;
S_782_3: /* 3 */
		Uerror("blocking sel in d_step (nr.110, near line 142)");
S_783_0: /* 2 */
		goto S_785_0;
S_784_3: /* 3 */
		Uerror("blocking sel in d_step (nr.111, near line 137)");
S_785_0: /* 2 */
		goto S_789_0;
S_788_1: /* 3 */
S_787_0: /* 2 */
		/* else */;
		goto S_789_0;
S_788_2: /* 3 */
		Uerror("blocking sel in d_step (nr.112, near line 172)");
S_789_0: /* 2 */
S_790_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[3] = ((int)now.replica[3].life);
#ifdef VAR_RANGES
		logval("replica[Node:self].source[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3]));
#endif
		;
S_795_0: /* 2 */
S_791_0: /* 2 */
		if (!(((int)now.replica[3].able)))
			goto S_795_1;
S_792_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)|(1<<3));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_796_0;
S_795_1: /* 3 */
S_793_0: /* 2 */
		/* else */;
S_794_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)& ~((1<<3)));
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_796_0;
S_795_2: /* 3 */
		Uerror("blocking sel in d_step (nr.113, near line 177)");
S_796_0: /* 2 */
S_817_0: /* 2 */
S_800_0: /* 2 */
S_797_0: /* 2 */
		if (!(( !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able))&&( ((((int)now.settled)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest))) ? ((((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))+((((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<3))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : ((((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<0))|| !((((int)mutant)!=11))))+((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<1))|| !((((int)mutant)!=11)))))+((((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2])))&&((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble)&(1<<2))|| !((((int)mutant)!=11)))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) ))))
			goto S_800_1;
S_798_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].able = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].able", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able));
#endif
		;
		goto S_801_0;
S_800_1: /* 3 */
S_799_0: /* 2 */
		/* else */;
		goto S_801_0;
S_800_2: /* 3 */
		Uerror("blocking sel in d_step (nr.114, near line 103)");
S_801_0: /* 2 */
S_805_0: /* 2 */
S_802_0: /* 2 */
		if (!(( (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)) ? (((((((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1])))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))+(((3!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) : (((((((0!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0])))+(((1!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]))))+(((2!=((int)((P0 *)_this)->self))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])!=0))&&(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2])>=((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]))))>=( ((((int)mutant)!=7)) ? (2) : (1) ))) )))
			goto S_805_1;
S_803_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].announced = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].announced", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced));
#endif
		;
		goto S_806_0;
S_805_1: /* 3 */
S_804_0: /* 2 */
		/* else */;
		goto S_806_0;
S_805_2: /* 3 */
		Uerror("blocking sel in d_step (nr.115, near line 107)");
S_806_0: /* 2 */
S_815_0: /* 2 */
S_807_0: /* 2 */
		if (!((((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able)&&((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced))))
			goto S_815_1;
S_813_0: /* 2 */
S_808_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0]));
#endif
		;
S_809_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1]));
#endif
		;
S_810_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2]));
#endif
		;
S_811_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3]));
#endif
		;
S_812_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_816_0;
S_815_1: /* 3 */
S_814_0: /* 2 */
		/* else */;
		goto S_816_0;
S_815_2: /* 3 */
		Uerror("blocking sel in d_step (nr.116, near line 111)");
S_816_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 56: // STATE 849 - ../../claim.pml:307 - [D_STEP307]
		if (!(boq == -1 && ((((int)mortal)&(1<<((int)((P0 *)_this)->self)))&&(((int)now.crashes)<((int)maxCrashes)))))
			continue;

		reached[0][849] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_820_0: /* 2 */
		if (!(((((int)mortal)&(1<<((int)((P0 *)_this)->self)))&&(((int)now.crashes)<((int)maxCrashes)))))
			Uerror("block in d_step seq");
S_847_0: /* 2 */
S_838_0: /* 2 */
S_821_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].able = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].able", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able));
#endif
		;
S_822_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].announced = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].announced", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced));
#endif
		;
S_823_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].holder = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].holder", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].holder));
#endif
		;
S_824_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].round = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].round", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].round));
#endif
		;
S_825_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].promised = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].promised", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].promised));
#endif
		;
S_826_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].to = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].to", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].to));
#endif
		;
S_827_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].unsure = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].unsure", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].unsure));
#endif
		;
S_828_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[0] = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].known[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[0]));
#endif
		;
S_829_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[1] = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].known[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[1]));
#endif
		;
S_830_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[2] = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].known[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[2]));
#endif
		;
S_831_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].known[3] = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].known[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].known[3]));
#endif
		;
S_837_0: /* 2 */
S_832_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0]));
#endif
		;
S_833_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1]));
#endif
		;
S_834_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2]));
#endif
		;
S_835_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3]));
#endif
		;
S_836_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_839_0;
S_839_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].life = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)+1);
#ifdef VAR_RANGES
		logval("replica[Node:self].life", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life));
#endif
		;
S_840_0: /* 2 */
		now.crashes = (((int)now.crashes)+1);
#ifdef VAR_RANGES
		logval("crashes", ((int)now.crashes));
#endif
		;
S_845_0: /* 2 */
S_841_0: /* 2 */
		if (!( !((((int)mutant)!=1))))
			goto S_845_1;
S_842_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].able = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].able", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].able));
#endif
		;
S_843_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].announced = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].announced", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced));
#endif
		;
		goto S_846_0;
S_845_1: /* 3 */
S_844_0: /* 2 */
		/* else */;
		goto S_846_0;
S_845_2: /* 3 */
		Uerror("blocking sel in d_step (nr.117, near line 205)");
S_846_0: /* 2 */
		goto S_861_0; /* '.' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 57: // STATE 860 - ../../claim.pml:308 - [D_STEP308]
		if (!(boq == -1 && (((int)now.published)&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)))))
			continue;

		reached[0][860] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_849_0: /* 2 */
		if (!((((int)now.published)&& !(((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest)))))
			Uerror("block in d_step seq");
S_858_0: /* 2 */
S_850_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].latest = 1;
#ifdef VAR_RANGES
		logval("replica[Node:self].latest", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].latest));
#endif
		;
S_851_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].announced = (((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].life)==1);
#ifdef VAR_RANGES
		logval("replica[Node:self].announced", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].announced));
#endif
		;
S_857_0: /* 2 */
S_852_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[0] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[0]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[0]));
#endif
		;
S_853_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[1] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[1]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[1]));
#endif
		;
S_854_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[2] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[2]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[2]));
#endif
		;
S_855_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].source[3] = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].source[3]", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].source[3]));
#endif
		;
S_856_0: /* 2 */
		now.replica[ Index(((P0 *)_this)->self, 4) ].sourceAble = 0;
#ifdef VAR_RANGES
		logval("replica[Node:self].sourceAble", ((int)now.replica[ Index(((int)((P0 *)_this)->self), 4) ].sourceAble));
#endif
		;
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */
		goto S_861_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 58: // STATE 864 - ../../claim.pml:310 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][864] = 1;
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

