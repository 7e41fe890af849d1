#ifdef PEG
struct T_SRC {
	char *fl; int ln;
} T_SRC[NTRANS];

void
tr_2_src(int m, char *file, int ln)
{	T_SRC[m].fl = file;
	T_SRC[m].ln = ln;
}

void
putpeg(int n, int m)
{	printf("%5d	trans %4d ", m, n);
	printf("%s:%d\n",
		T_SRC[n].fl, T_SRC[n].ln);
}
#endif

void
settable(void)
{	Trans *T;
	Trans *settr(int, int, int, int, int, char *, int, int, int);

	trans = (Trans ***) emalloc(5*sizeof(Trans **));

	/* proctype 3: :init: */

	trans[3] = (Trans **) emalloc(144*sizeof(Trans *));

	T = trans[ 3][142] = settr(1171,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(1171,2,1,0,0,"ATOMIC", 1, 2, 0);
	trans[3][1]	= settr(1030,2,23,3,3,"{c_code1}", 1, 2, 0);
	T = trans[ 3][23] = settr(1052,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1052,0,19,0,0,"sub-sequence", 1, 2, 0);
	T = trans[ 3][19] = settr(1048,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1048,0,2,0,0,"sub-sequence", 1, 2, 0);
	trans[3][2]	= settr(1031,2,18,4,4,"replica[0].able = 0", 1, 2, 0); /* m: 3 -> 0,18 */
	reached3[3] = 1;
	trans[3][3]	= settr(0,0,0,0,0,"replica[0].announced = 0",0,0,0);
	trans[3][4]	= settr(0,0,0,0,0,"replica[0].holder = 0",0,0,0);
	trans[3][5]	= settr(0,0,0,0,0,"replica[0].round = 0",0,0,0);
	trans[3][6]	= settr(0,0,0,0,0,"replica[0].promised = 0",0,0,0);
	trans[3][7]	= settr(0,0,0,0,0,"replica[0].to = 0",0,0,0);
	trans[3][8]	= settr(0,0,0,0,0,"replica[0].unsure = 0",0,0,0);
	trans[3][9]	= settr(0,0,0,0,0,"replica[0].known[0] = 1",0,0,0);
	trans[3][10]	= settr(0,0,0,0,0,"replica[0].known[1] = 1",0,0,0);
	trans[3][11]	= settr(0,0,0,0,0,"replica[0].known[2] = 1",0,0,0);
	trans[3][12]	= settr(0,0,0,0,0,"replica[0].known[3] = 1",0,0,0);
	T = trans[ 3][18] = settr(1047,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1047,0,13,0,0,"sub-sequence", 1, 2, 0);
	trans[3][13]	= settr(1042,2,45,5,5,"replica[0].source[0] = 0", 1, 2, 0); /* m: 14 -> 0,45 */
	reached3[14] = 1;
	trans[3][14]	= settr(0,0,0,0,0,"replica[0].source[1] = 0",0,0,0);
	trans[3][15]	= settr(0,0,0,0,0,"replica[0].source[2] = 0",0,0,0);
	trans[3][16]	= settr(0,0,0,0,0,"replica[0].source[3] = 0",0,0,0);
	trans[3][17]	= settr(0,0,0,0,0,"replica[0].sourceAble = 0",0,0,0);
	trans[3][20]	= settr(0,0,0,0,0,"replica[0].able = 1",0,0,0);
	trans[3][21]	= settr(0,0,0,0,0,"replica[0].announced = 1",0,0,0);
	trans[3][22]	= settr(0,0,0,0,0,"replica[0].life = 1",0,0,0);
	T = trans[ 3][45] = settr(1074,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1074,0,41,0,0,"sub-sequence", 1, 2, 0);
	T = trans[ 3][41] = settr(1070,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1070,0,24,0,0,"sub-sequence", 1, 2, 0);
	trans[3][24]	= settr(1053,2,40,6,6,"replica[1].able = 0", 1, 2, 0); /* m: 25 -> 0,40 */
	reached3[25] = 1;
	trans[3][25]	= settr(0,0,0,0,0,"replica[1].announced = 0",0,0,0);
	trans[3][26]	= settr(0,0,0,0,0,"replica[1].holder = 0",0,0,0);
	trans[3][27]	= settr(0,0,0,0,0,"replica[1].round = 0",0,0,0);
	trans[3][28]	= settr(0,0,0,0,0,"replica[1].promised = 0",0,0,0);
	trans[3][29]	= settr(0,0,0,0,0,"replica[1].to = 0",0,0,0);
	trans[3][30]	= settr(0,0,0,0,0,"replica[1].unsure = 0",0,0,0);
	trans[3][31]	= settr(0,0,0,0,0,"replica[1].known[0] = 1",0,0,0);
	trans[3][32]	= settr(0,0,0,0,0,"replica[1].known[1] = 1",0,0,0);
	trans[3][33]	= settr(0,0,0,0,0,"replica[1].known[2] = 1",0,0,0);
	trans[3][34]	= settr(0,0,0,0,0,"replica[1].known[3] = 1",0,0,0);
	T = trans[ 3][40] = settr(1069,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1069,0,35,0,0,"sub-sequence", 1, 2, 0);
	trans[3][35]	= settr(1064,2,67,7,7,"replica[1].source[0] = 0", 1, 2, 0); /* m: 36 -> 0,67 */
	reached3[36] = 1;
	trans[3][36]	= settr(0,0,0,0,0,"replica[1].source[1] = 0",0,0,0);
	trans[3][37]	= settr(0,0,0,0,0,"replica[1].source[2] = 0",0,0,0);
	trans[3][38]	= settr(0,0,0,0,0,"replica[1].source[3] = 0",0,0,0);
	trans[3][39]	= settr(0,0,0,0,0,"replica[1].sourceAble = 0",0,0,0);
	trans[3][42]	= settr(0,0,0,0,0,"replica[1].able = 1",0,0,0);
	trans[3][43]	= settr(0,0,0,0,0,"replica[1].announced = 1",0,0,0);
	trans[3][44]	= settr(0,0,0,0,0,"replica[1].life = 1",0,0,0);
	T = trans[ 3][67] = settr(1096,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1096,0,63,0,0,"sub-sequence", 1, 2, 0);
	T = trans[ 3][63] = settr(1092,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1092,0,46,0,0,"sub-sequence", 1, 2, 0);
	trans[3][46]	= settr(1075,2,62,8,8,"replica[2].able = 0", 1, 2, 0); /* m: 47 -> 0,62 */
	reached3[47] = 1;
	trans[3][47]	= settr(0,0,0,0,0,"replica[2].announced = 0",0,0,0);
	trans[3][48]	= settr(0,0,0,0,0,"replica[2].holder = 0",0,0,0);
	trans[3][49]	= settr(0,0,0,0,0,"replica[2].round = 0",0,0,0);
	trans[3][50]	= settr(0,0,0,0,0,"replica[2].promised = 0",0,0,0);
	trans[3][51]	= settr(0,0,0,0,0,"replica[2].to = 0",0,0,0);
	trans[3][52]	= settr(0,0,0,0,0,"replica[2].unsure = 0",0,0,0);
	trans[3][53]	= settr(0,0,0,0,0,"replica[2].known[0] = 1",0,0,0);
	trans[3][54]	= settr(0,0,0,0,0,"replica[2].known[1] = 1",0,0,0);
	trans[3][55]	= settr(0,0,0,0,0,"replica[2].known[2] = 1",0,0,0);
	trans[3][56]	= settr(0,0,0,0,0,"replica[2].known[3] = 1",0,0,0);
	T = trans[ 3][62] = settr(1091,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1091,0,57,0,0,"sub-sequence", 1, 2, 0);
	trans[3][57]	= settr(1086,2,85,9,9,"replica[2].source[0] = 0", 1, 2, 0); /* m: 58 -> 0,85 */
	reached3[58] = 1;
	trans[3][58]	= settr(0,0,0,0,0,"replica[2].source[1] = 0",0,0,0);
	trans[3][59]	= settr(0,0,0,0,0,"replica[2].source[2] = 0",0,0,0);
	trans[3][60]	= settr(0,0,0,0,0,"replica[2].source[3] = 0",0,0,0);
	trans[3][61]	= settr(0,0,0,0,0,"replica[2].sourceAble = 0",0,0,0);
	trans[3][64]	= settr(0,0,0,0,0,"replica[2].able = 1",0,0,0);
	trans[3][65]	= settr(0,0,0,0,0,"replica[2].announced = 1",0,0,0);
	trans[3][66]	= settr(0,0,0,0,0,"replica[2].life = 1",0,0,0);
	T = trans[ 3][85] = settr(1114,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1114,0,68,0,0,"sub-sequence", 1, 2, 0);
	trans[3][68]	= settr(1097,2,84,10,10,"replica[3].able = 0", 1, 2, 0); /* m: 69 -> 0,84 */
	reached3[69] = 1;
	trans[3][69]	= settr(0,0,0,0,0,"replica[3].announced = 0",0,0,0);
	trans[3][70]	= settr(0,0,0,0,0,"replica[3].holder = 0",0,0,0);
	trans[3][71]	= settr(0,0,0,0,0,"replica[3].round = 0",0,0,0);
	trans[3][72]	= settr(0,0,0,0,0,"replica[3].promised = 0",0,0,0);
	trans[3][73]	= settr(0,0,0,0,0,"replica[3].to = 0",0,0,0);
	trans[3][74]	= settr(0,0,0,0,0,"replica[3].unsure = 0",0,0,0);
	trans[3][75]	= settr(0,0,0,0,0,"replica[3].known[0] = 1",0,0,0);
	trans[3][76]	= settr(0,0,0,0,0,"replica[3].known[1] = 1",0,0,0);
	trans[3][77]	= settr(0,0,0,0,0,"replica[3].known[2] = 1",0,0,0);
	trans[3][78]	= settr(0,0,0,0,0,"replica[3].known[3] = 1",0,0,0);
	T = trans[ 3][84] = settr(1113,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1113,0,79,0,0,"sub-sequence", 1, 2, 0);
	trans[3][79]	= settr(1108,2,99,11,11,"replica[3].source[0] = 0", 1, 2, 0); /* m: 80 -> 0,99 */
	reached3[80] = 1;
	trans[3][80]	= settr(0,0,0,0,0,"replica[3].source[1] = 0",0,0,0);
	trans[3][81]	= settr(0,0,0,0,0,"replica[3].source[2] = 0",0,0,0);
	trans[3][82]	= settr(0,0,0,0,0,"replica[3].source[3] = 0",0,0,0);
	trans[3][83]	= settr(0,0,0,0,0,"replica[3].sourceAble = 0",0,0,0);
	trans[3][86]	= settr(0,0,0,0,0,"replica[3].life = 1",0,0,0);
	T = trans[ 3][99] = settr(1128,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1128,0,87,0,0,"sub-sequence", 1, 2, 0);
	trans[3][87]	= settr(1116,2,112,12,12,"attempt[1].vote[0] = 0", 1, 2, 0); /* m: 88 -> 0,112 */
	reached3[88] = 1;
	trans[3][88]	= settr(0,0,0,0,0,"attempt[1].vote[1] = 0",0,0,0);
	trans[3][89]	= settr(0,0,0,0,0,"attempt[1].vote[2] = 0",0,0,0);
	trans[3][90]	= settr(0,0,0,0,0,"attempt[1].vote[3] = 0",0,0,0);
	trans[3][91]	= settr(0,0,0,0,0,"attempt[1].known[0] = 1",0,0,0);
	trans[3][92]	= settr(0,0,0,0,0,"attempt[1].known[1] = 1",0,0,0);
	trans[3][93]	= settr(0,0,0,0,0,"attempt[1].known[2] = 1",0,0,0);
	trans[3][94]	= settr(0,0,0,0,0,"attempt[1].known[3] = 1",0,0,0);
	trans[3][95]	= settr(0,0,0,0,0,"attempt[1].voted[0] = 0",0,0,0);
	trans[3][96]	= settr(0,0,0,0,0,"attempt[1].voted[1] = 0",0,0,0);
	trans[3][97]	= settr(0,0,0,0,0,"attempt[1].voted[2] = 0",0,0,0);
	trans[3][98]	= settr(0,0,0,0,0,"attempt[1].voted[3] = 0",0,0,0);
	T = trans[ 3][112] = settr(1141,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1141,0,100,0,0,"sub-sequence", 1, 2, 0);
	trans[3][100]	= settr(1129,2,125,13,13,"attempt[2].vote[0] = 0", 1, 2, 0); /* m: 101 -> 0,125 */
	reached3[101] = 1;
	trans[3][101]	= settr(0,0,0,0,0,"attempt[2].vote[1] = 0",0,0,0);
	trans[3][102]	= settr(0,0,0,0,0,"attempt[2].vote[2] = 0",0,0,0);
	trans[3][103]	= settr(0,0,0,0,0,"attempt[2].vote[3] = 0",0,0,0);
	trans[3][104]	= settr(0,0,0,0,0,"attempt[2].known[0] = 1",0,0,0);
	trans[3][105]	= settr(0,0,0,0,0,"attempt[2].known[1] = 1",0,0,0);
	trans[3][106]	= settr(0,0,0,0,0,"attempt[2].known[2] = 1",0,0,0);
	trans[3][107]	= settr(0,0,0,0,0,"attempt[2].known[3] = 1",0,0,0);
	trans[3][108]	= settr(0,0,0,0,0,"attempt[2].voted[0] = 0",0,0,0);
	trans[3][109]	= settr(0,0,0,0,0,"attempt[2].voted[1] = 0",0,0,0);
	trans[3][110]	= settr(0,0,0,0,0,"attempt[2].voted[2] = 0",0,0,0);
	trans[3][111]	= settr(0,0,0,0,0,"attempt[2].voted[3] = 0",0,0,0);
	T = trans[ 3][125] = settr(1154,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(1154,0,113,0,0,"sub-sequence", 1, 2, 0);
	trans[3][113]	= settr(1142,2,126,14,14,"attempt[3].vote[0] = 0", 1, 2, 0); /* m: 114 -> 0,126 */
	reached3[114] = 1;
	trans[3][114]	= settr(0,0,0,0,0,"attempt[3].vote[1] = 0",0,0,0);
	trans[3][115]	= settr(0,0,0,0,0,"attempt[3].vote[2] = 0",0,0,0);
	trans[3][116]	= settr(0,0,0,0,0,"attempt[3].vote[3] = 0",0,0,0);
	trans[3][117]	= settr(0,0,0,0,0,"attempt[3].known[0] = 1",0,0,0);
	trans[3][118]	= settr(0,0,0,0,0,"attempt[3].known[1] = 1",0,0,0);
	trans[3][119]	= settr(0,0,0,0,0,"attempt[3].known[2] = 1",0,0,0);
	trans[3][120]	= settr(0,0,0,0,0,"attempt[3].known[3] = 1",0,0,0);
	trans[3][121]	= settr(0,0,0,0,0,"attempt[3].voted[0] = 0",0,0,0);
	trans[3][122]	= settr(0,0,0,0,0,"attempt[3].voted[1] = 0",0,0,0);
	trans[3][123]	= settr(0,0,0,0,0,"attempt[3].voted[2] = 0",0,0,0);
	trans[3][124]	= settr(0,0,0,0,0,"attempt[3].voted[3] = 0",0,0,0);
	trans[3][126]	= settr(1155,2,127,15,15,"(run Node(0))", 1, 2, 0);
	trans[3][127]	= settr(1156,2,128,16,16,"(run Node(1))", 1, 2, 0);
	trans[3][128]	= settr(1157,2,132,17,17,"(run Node(2))", 1, 2, 0);
	T = trans[3][132] = settr(1161,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1161,2,129,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1161,2,131,0,0,"IF", 1, 2, 0);
	trans[3][129]	= settr(1158,2,130,18,0,"(change)", 1, 2, 0);
	trans[3][130]	= settr(1159,2,134,19,19,"(run Node(3))", 1, 2, 0);
	trans[3][133]	= settr(1162,2,134,1,0,".(goto)", 1, 2, 0);
	trans[3][131]	= settr(1160,2,134,2,0,"else", 1, 2, 0);
	trans[3][134]	= settr(1163,2,135,20,20,"(run Coordinator(1))", 1, 2, 0);
	trans[3][135]	= settr(1164,2,139,21,21,"(run Coordinator(2))", 1, 2, 0);
	T = trans[3][139] = settr(1168,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(1168,2,136,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(1168,2,138,0,0,"IF", 1, 2, 0);
	trans[3][136]	= settr(1165,2,137,22,0,"((attempts>2))", 1, 2, 0);
	trans[3][137]	= settr(1166,2,140,23,23,"(run Coordinator(3))", 1, 2, 0);
	trans[3][140]	= settr(1169,2,141,1,0,".(goto)", 1, 2, 0);
	trans[3][138]	= settr(1167,2,140,2,0,"else", 1, 2, 0);
	trans[3][141]	= settr(1170,0,143,24,24,"(run Configuration())", 1, 2, 0);
	trans[3][143]	= settr(1172,0,0,25,25,"-end-", 0, 3500, 0);

	/* proctype 2: Configuration */

	trans[2] = (Trans **) emalloc(11*sizeof(Trans *));

	trans[2][8]	= settr(1027,0,7,1,0,".(goto)", 0, 2, 0);
	T = trans[2][7] = settr(1026,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1026,0,3,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(1026,0,6,0,0,"DO", 0, 2, 0);
/*->*/	trans[2][3]	= settr(1022,32,7,26,26,"D_STEP404", 1, 2, 0);
/*->*/	trans[2][6]	= settr(1025,32,7,27,27,"D_STEP405", 1, 2, 0);
	trans[2][9]	= settr(1028,0,10,1,0,"break", 0, 2, 0);
	trans[2][10]	= settr(1029,0,0,28,28,"-end-", 0, 3500, 0);

	/* proctype 1: Coordinator */

	trans[1] = (Trans **) emalloc(157*sizeof(Trans *));

	trans[1][154]	= settr(1017,0,153,1,0,".(goto)", 0, 2, 0);
	T = trans[1][153] = settr(1016,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1016,0,19,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1016,0,39,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1016,0,58,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1016,0,77,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1016,0,93,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1016,0,114,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(1016,0,131,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(1016,0,152,0,0,"DO", 0, 2, 0);
/*->*/	trans[1][19]	= settr(882,32,153,29,29,"D_STEP385", 1, 2, 0);
/*->*/	trans[1][39]	= settr(902,32,153,30,30,"D_STEP386", 1, 2, 0);
/*->*/	trans[1][58]	= settr(921,32,153,31,31,"D_STEP387", 1, 2, 0);
/*->*/	trans[1][77]	= settr(940,32,153,32,32,"D_STEP388", 1, 2, 0);
/*->*/	trans[1][93]	= settr(956,32,153,33,33,"D_STEP389", 1, 2, 0);
/*->*/	trans[1][114]	= settr(977,32,153,34,34,"D_STEP390", 1, 2, 0);
/*->*/	trans[1][131]	= settr(994,32,153,35,35,"D_STEP391", 1, 2, 0);
/*->*/	trans[1][152]	= settr(1015,32,153,36,36,"D_STEP392", 1, 2, 0);
	trans[1][155]	= settr(1018,0,156,1,0,"break", 0, 2, 0);
	trans[1][156]	= settr(1019,0,0,37,37,"-end-", 0, 3500, 0);

	/* proctype 0: Node */

	trans[0] = (Trans **) emalloc(865*sizeof(Trans *));

	trans[0][862]	= settr(861,0,861,1,0,".(goto)", 0, 2, 0);
	T = trans[0][861] = settr(860,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,37,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,74,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,111,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,148,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,185,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,222,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,259,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,295,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,331,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,367,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,403,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,418,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,433,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,448,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,541,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,634,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,727,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,820,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(860,0,849,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(860,0,860,0,0,"DO", 0, 2, 0);
/*->*/	trans[0][37]	= settr(36,32,861,38,38,"D_STEP289", 1, 2, 0);
/*->*/	trans[0][74]	= settr(73,32,861,39,39,"D_STEP290", 1, 2, 0);
/*->*/	trans[0][111]	= settr(110,32,861,40,40,"D_STEP291", 1, 2, 0);
/*->*/	trans[0][148]	= settr(147,32,861,41,41,"D_STEP292", 1, 2, 0);
/*->*/	trans[0][185]	= settr(184,32,861,42,42,"D_STEP293", 1, 2, 0);
/*->*/	trans[0][222]	= settr(221,32,861,43,43,"D_STEP294", 1, 2, 0);
/*->*/	trans[0][259]	= settr(258,32,861,44,44,"D_STEP295", 1, 2, 0);
/*->*/	trans[0][295]	= settr(294,32,861,45,45,"D_STEP296", 1, 2, 0);
/*->*/	trans[0][331]	= settr(330,32,861,46,46,"D_STEP297", 1, 2, 0);
/*->*/	trans[0][367]	= settr(366,32,861,47,47,"D_STEP298", 1, 2, 0);
/*->*/	trans[0][403]	= settr(402,32,861,48,48,"D_STEP299", 1, 2, 0);
/*->*/	trans[0][418]	= settr(417,32,861,49,49,"D_STEP300", 1, 2, 0);
/*->*/	trans[0][433]	= settr(432,32,861,50,50,"D_STEP301", 1, 2, 0);
/*->*/	trans[0][448]	= settr(447,32,861,51,51,"D_STEP302", 1, 2, 0);
/*->*/	trans[0][541]	= settr(540,32,861,52,52,"D_STEP303", 1, 2, 0);
/*->*/	trans[0][634]	= settr(633,32,861,53,53,"D_STEP304", 1, 2, 0);
/*->*/	trans[0][727]	= settr(726,32,861,54,54,"D_STEP305", 1, 2, 0);
/*->*/	trans[0][820]	= settr(819,32,861,55,55,"D_STEP306", 1, 2, 0);
/*->*/	trans[0][849]	= settr(848,32,861,56,56,"D_STEP307", 1, 2, 0);
/*->*/	trans[0][860]	= settr(859,32,861,57,57,"D_STEP308", 1, 2, 0);
	trans[0][863]	= settr(862,0,864,1,0,"break", 0, 2, 0);
	trans[0][864]	= settr(863,0,0,58,58,"-end-", 0, 3500, 0);
	/* np_ demon: */
	trans[_NP_] = (Trans **) emalloc(3*sizeof(Trans *));
	T = trans[_NP_][0] = settr(9997,0,1,_T5,0,"(np_)", 1,2,0);
	    T->nxt	  = settr(9998,0,0,_T2,0,"(1)",   0,2,0);
	T = trans[_NP_][1] = settr(9999,0,1,_T5,0,"(np_)", 1,2,0);
}

Trans *
settr(	int t_id, int a, int b, int c, int d,
	char *t, int g, int tpe0, int tpe1)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	tmp->atom  = a&(6|32);	/* only (2|8|32) have meaning */
	if (!g) tmp->atom |= 8;	/* no global references */
	tmp->st    = b;
	tmp->tpe[0] = tpe0;
	tmp->tpe[1] = tpe1;
	tmp->tp    = t;
	tmp->t_id  = t_id;
	tmp->forw  = c;
	tmp->back  = d;
	return tmp;
}

Trans *
cpytr(Trans *a)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	int i;
	tmp->atom  = a->atom;
	tmp->st    = a->st;
#ifdef HAS_UNLESS
	tmp->e_trans = a->e_trans;
	for (i = 0; i < HAS_UNLESS; i++)
		tmp->escp[i] = a->escp[i];
#endif
	tmp->tpe[0] = a->tpe[0];
	tmp->tpe[1] = a->tpe[1];
	for (i = 0; i < 6; i++)
	{	tmp->qu[i] = a->qu[i];
		tmp->ty[i] = a->ty[i];
	}
	tmp->tp    = (char *) emalloc(strlen(a->tp)+1);
	strcpy(tmp->tp, a->tp);
	tmp->t_id  = a->t_id;
	tmp->forw  = a->forw;
	tmp->back  = a->back;
	return tmp;
}

#ifndef NOREDUCE
int
srinc_set(int n)
{	if (n <= 2) return LOCAL;
	if (n <= 2+  DELTA) return Q_FULL_F; /* 's' or nfull  */
	if (n <= 2+2*DELTA) return Q_EMPT_F; /* 'r' or nempty */
	if (n <= 2+3*DELTA) return Q_EMPT_T; /* empty */
	if (n <= 2+4*DELTA) return Q_FULL_T; /* full  */
	if (n ==   5*DELTA) return GLOBAL;
	if (n ==   6*DELTA) return TIMEOUT_F;
	if (n ==   7*DELTA) return ALPHA_F;
	Uerror("cannot happen srinc_class");
	return BAD;
}
int
srunc(int n, int m)
{	switch(m) {
	case Q_FULL_F: return n-2;
	case Q_EMPT_F: return n-2-DELTA;
	case Q_EMPT_T: return n-2-2*DELTA;
	case Q_FULL_T: return n-2-3*DELTA;
	case ALPHA_F:
	case TIMEOUT_F: return 257; /* non-zero, and > MAXQ */
	}
	Uerror("cannot happen srunc");
	return 0;
}
#endif
int cnt;
#ifdef HAS_UNLESS
int
isthere(Trans *a, int b)
{	Trans *t;
	for (t = a; t; t = t->nxt)
		if (t->t_id == b)
			return 1;
	return 0;
}
#endif
#ifndef NOREDUCE
int
mark_safety(Trans *t) /* for conditional safety */
{	int g = 0, i, j, k;

	if (!t) return 0;
	if (t->qu[0])
		return (t->qu[1])?2:1;	/* marked */

	for (i = 0; i < 2; i++)
	{	j = srinc_set(t->tpe[i]);
		if (j >= GLOBAL && j != ALPHA_F)
			return -1;
		if (j != LOCAL)
		{	k = srunc(t->tpe[i], j);
			if (g == 0
			||  t->qu[0] != k
			||  t->ty[0] != j)
			{	t->qu[g] = k;
				t->ty[g] = j;
				g++;
	}	}	}
	return g;
}
#endif
void
retrans(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
	/* process n, with m states, is=initial state */
{	Trans *T0, *T1, *T2, *T3;
	Trans *T4, *T5; /* t_reverse or has_unless */
	int i;
#if defined(HAS_UNLESS) || !defined(NOREDUCE)
	int k;
#endif
#ifndef NOREDUCE
	int g, h, j, aa;
#endif
#ifdef HAS_UNLESS
	int p;
#endif
	if (state_tables >= 4)
	{	printf("STEP 1 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	do {
		for (i = 1, cnt = 0; i < m; i++)
		{	T2 = trans[n][i];
			T1 = T2?T2->nxt:(Trans *)0;
/* prescan: */		for (T0 = T1; T0; T0 = T0->nxt)
/* choice in choice */	{	if (T0->st && trans[n][T0->st]
				&&  trans[n][T0->st]->nxt)
					break;
			}
#if 0
		if (T0)
		printf("\tstate %d / %d: choice in choice\n",
		i, T0->st);
#endif
			if (T0)
			for (T0 = T1; T0; T0 = T0->nxt)
			{	T3 = trans[n][T0->st];
				if (!T3->nxt)
				{	T2->nxt = cpytr(T0);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
					continue;
				}
				do {	T3 = T3->nxt;
					T2->nxt = cpytr(T3);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
				} while (T3->nxt);
				cnt++;
			}
		}
	} while (cnt);
	if (state_tables >= 3)
	{	printf("STEP 2 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	for (i = 1; i < m; i++)
	{	if (trans[n][i] && trans[n][i]->nxt) /* optimize */
		{	T1 = trans[n][i]->nxt;
#if 0
			printf("\t\tpull %d (%d) to %d\n",
			T1->st, T1->forw, i);
#endif
			srcln[i] = srcln[T1->st];	/* Oyvind Teig, 5.2.0 */

			if (!trans[n][T1->st]) continue;
			T0 = cpytr(trans[n][T1->st]);
			trans[n][i] = T0;
			reach[T1->st] = 1;
			imed(T0, T1->st, n, i);
			for (T1 = T1->nxt; T1; T1 = T1->nxt)
			{
#if 0
			printf("\t\tpull %d (%d) to %d\n",
				T1->st, T1->forw, i);
#endif
		/*		srcln[i] = srcln[T1->st];  gh: not useful */
				if (!trans[n][T1->st]) continue;
				T0->nxt = cpytr(trans[n][T1->st]);
				T0 = T0->nxt;
				reach[T1->st] = 1;
				imed(T0, T1->st, n, i);
	}	}	}
	if (state_tables >= 2)
	{	printf("STEP 3 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
#ifdef HAS_UNLESS
	for (i = 1; i < m; i++)
	{	if (!trans[n][i]) continue;
		/* check for each state i if an
		 * escape to some state p is defined
		 * if so, copy and mark p's transitions
		 * and prepend them to the transition-
		 * list of state i
		 */
	 if (!like_java) /* the default */
	 {	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->e_trans = p;
				T2->nxt = trans[n][i];
				trans[n][i] = T2;
		}	}
	 } else /* outermost unless checked first */
	 {	T4 = T3 = (Trans *) 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->nxt = (Trans *) 0;
				T2->e_trans = p;
				if (T3)	T3->nxt = T2;
				else	T4 = T2;
				T3 = T2;
		}	}
		if (T4)
		{	T3->nxt = trans[n][i];
			trans[n][i] = T4;
		}
	 }
	}
#endif
#ifndef NOREDUCE
	for (i = 1; i < m; i++)
	{	if (a_cycles)
		{ /* moves through these states are visible */
	#if PROG_LAB>0 && defined(HAS_NP)
			if (progstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (progstate[n][T1->st])
					goto degrade;
	#endif
			if (accpstate[n][i] || visstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (accpstate[n][T1->st])
					goto degrade;
		}
		T1 = trans[n][i];
		if (!T1) continue;
		g = mark_safety(T1);	/* V3.3.1 */
		if (g < 0) goto degrade; /* global */
		/* check if mixing of guards preserves reduction */
		if (T1->nxt)
		{	k = 0;
			for (T0 = T1; T0; T0 = T0->nxt)
			{	if (!(T0->atom&8))
					goto degrade;
				for (aa = 0; aa < 2; aa++)
				{	j = srinc_set(T0->tpe[aa]);
					if (j >= GLOBAL && j != ALPHA_F)
						goto degrade;
					if (T0->tpe[aa]
					&&  T0->tpe[aa]
					!=  T1->tpe[0])
						k = 1;
			}	}
			/* g = 0;	V3.3.1 */
			if (k)	/* non-uniform selection */
			for (T0 = T1; T0; T0 = T0->nxt)
			for (aa = 0; aa < 2; aa++)
			{	j = srinc_set(T0->tpe[aa]);
				if (j != LOCAL)
				{	k = srunc(T0->tpe[aa], j);
					for (h = 0; h < 6; h++)
						if (T1->qu[h] == k
						&&  T1->ty[h] == j)
							break;
					if (h >= 6)
					{	T1->qu[g%6] = k;
						T1->ty[g%6] = j;
						g++;
			}	}	}
			if (g > 6)
			{	T1->qu[0] = 0;	/* turn it off */
				printf("pan: warning, line %d, ",
					srcln[i]);
			 	printf("too many stmnt types (%d)",
					g);
			  	printf(" in selection\n");
			  goto degrade;
			}
		}
		/* mark all options global if >=1 is global */
		for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			if (!(T1->atom&8)) break;
		if (T1)
degrade:	for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			T1->atom &= ~8;	/* mark as unsafe */
		/* can only mix 'r's or 's's if on same chan */
		/* and not mixed with other local operations */
		T1 = trans[n][i];
		if (!T1 || T1->qu[0]) continue;
		j = T1->tpe[0];
		if (T1->nxt && T1->atom&8)
		{ if (j == 5*DELTA)
		  {	printf("warning: line %d ", srcln[i]);
			printf("mixed condition ");
			printf("(defeats reduction)\n");
			goto degrade;
		  }
		  for (T0 = T1; T0; T0 = T0->nxt)
		  for (aa = 0; aa < 2; aa++)
		  if  (T0->tpe[aa] && T0->tpe[aa] != j)
		  {	printf("warning: line %d ", srcln[i]);
			printf("[%d-%d] mixed %stion ",
				T0->tpe[aa], j, 
				(j==5*DELTA)?"condi":"selec");
			printf("(defeats reduction)\n");
			printf("	'%s' <-> '%s'\n",
				T1->tp, T0->tp);
			goto degrade;
		} }
	}
#endif
	for (i = 1; i < m; i++)
	{	T2 = trans[n][i];
		if (!T2
		||  T2->nxt
		||  strncmp(T2->tp, ".(goto)", 7)
		||  !stopstate[n][i])
			continue;
		stopstate[n][T2->st] = 1;
	}
	if (state_tables && !verbose)
	{	if (dodot)
		{	char buf[256], *q = buf, *p = procname[n];
			while (*p != '\0')
			{	if (*p != ':')
				{	*q++ = *p;
				}
				p++;
			}
			*q = '\0';
			printf("digraph ");
			switch (Btypes[n]) {
			case I_PROC:  printf("init {\n"); break;
			case N_CLAIM: printf("claim_%s {\n", buf); break;
			case E_TRACE: printf("notrace {\n"); break;
			case N_TRACE: printf("trace {\n"); break;
			default:      printf("p_%s {\n", buf); break;
			}
			printf("size=\"8,10\";\n");
			printf("  GT [shape=box,style=dotted,label=\"%s\"];\n", buf);
			printf("  GT -> S%d;\n", is);
		} else
		{	switch (Btypes[n]) {
			case I_PROC:  printf("init\n"); break;
			case N_CLAIM: printf("claim %s\n", procname[n]); break;
			case E_TRACE: printf("notrace assertion\n"); break;
			case N_TRACE: printf("trace assertion\n"); break;
			default:      printf("proctype %s\n", procname[n]); break;
		}	}
		for (i = 1; i < m; i++)
		{	reach[i] = 1;
		}
		tagtable(n, m, is, srcln, reach);
		if (dodot) printf("}\n");
	} else
	for (i = 1; i < m; i++)
	{	int nrelse;
		if (Btypes[n] != N_CLAIM)
		{	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			{	if (T0->st == i
				&& strcmp(T0->tp, "(1)") == 0)
				{	printf("error: proctype '%s' ",
						procname[n]);
		  			printf("line %d, state %d: has un",
						srcln[i], i);
					printf("conditional self-loop\n");
					pan_exit(1);
		}	}	}
		nrelse = 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		{	if (strcmp(T0->tp, "else") == 0)
				nrelse++;
		}
		if (nrelse > 1)
		{	printf("error: proctype '%s' state",
				procname[n]);
		  	printf(" %d, inherits %d", i, nrelse);
		  	printf(" 'else' stmnts\n");
			pan_exit(1);
	}	}
#if !defined(LOOPSTATE) && !defined(BFS_PAR)
	if (state_tables)
#endif
	do_dfs(n, m, is, srcln, reach, lpstate);

	if (!t_reverse)
	{	return;
	}
	/* process n, with m states, is=initial state -- reverse list */
	if (!state_tables && Btypes[n] != N_CLAIM)
	{	for (i = 1; i < m; i++)
		{	Trans *Tx = (Trans *) 0; /* list of escapes */
			Trans *Ty = (Trans *) 0; /* its tail element */
			T1 = (Trans *) 0; /* reversed list */
			T2 = (Trans *) 0; /* its tail */
			T3 = (Trans *) 0; /* remembers possible 'else' */

			/* find unless-escapes, they should go first */
			T4 = T5 = T0 = trans[n][i];
	#ifdef HAS_UNLESS
			while (T4 && T4->e_trans) /* escapes are first in orig list */
			{	T5 = T4;	  /* remember predecessor */
				T4 = T4->nxt;
			}
	#endif
			/* T4 points to first non-escape, T5 to its parent, T0 to original list */
			if (T4 != T0)		 /* there was at least one escape */
			{	T3 = T5->nxt;		 /* start of non-escapes */
				T5->nxt = (Trans *) 0;	 /* separate */
				Tx = T0;		 /* start of the escapes */
				Ty = T5;		 /* its tail */
				T0 = T3;		 /* the rest, to be reversed */
			}
			/* T0 points to first non-escape, Tx to the list of escapes, Ty to its tail */

			/* first tail-add non-escape transitions, reversed */
			T3 = (Trans *) 0;
			for (T5 = T0; T5; T5 = T4)
			{	T4 = T5->nxt;
	#ifdef HAS_UNLESS
				if (T5->e_trans)
				{	printf("error: cannot happen!\n");
					continue;
				}
	#endif
				if (strcmp(T5->tp, "else") == 0)
				{	T3 = T5;
					T5->nxt = (Trans *) 0;
				} else
				{	T5->nxt = T1;
					if (!T1) { T2 = T5; }
					T1 = T5;
			}	}
			/* T3 points to a possible else, which is removed from the list */
			/* T1 points to the reversed list so far (without escapes) */
			/* T2 points to the tail element -- where the else should go */
			if (T2 && T3)
			{	T2->nxt = T3;	/* add else */
			} else
			{	if (T3) /* there was an else, but there's no tail */
				{	if (!T1)	/* and no reversed list */
					{	T1 = T3; /* odd, but possible */
					} else		/* even stranger */
					{	T1->nxt = T3;
			}	}	}

			/* add in the escapes, to that they appear at the front */
			if (Tx && Ty) { Ty->nxt = T1; T1 = Tx; }

			trans[n][i] = T1;
			/* reversed, with escapes first and else last */
	}	}
	if (state_tables && verbose)
	{	printf("FINAL proctype %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
	}
}
void
imed(Trans *T, int v, int n, int j)	/* set intermediate state */
{	progstate[n][T->st] |= progstate[n][v];
	accpstate[n][T->st] |= accpstate[n][v];
	stopstate[n][T->st] |= stopstate[n][v];
	mapstate[n][j] = T->st;
}
void
tagtable(int n, int m, int is, short srcln[], uchar reach[])
{	Trans *z;

	if (is >= m || !trans[n][is]
	||  is <= 0 || reach[is] == 0)
		return;
	reach[is] = 0;
	if (state_tables)
	for (z = trans[n][is]; z; z = z->nxt)
	{	if (dodot)
			dot_crack(n, is, z);
		else
			crack(n, is, z, srcln);
	}

	for (z = trans[n][is]; z; z = z->nxt)
	{
#ifdef HAS_UNLESS
		int i, j;
#endif
		tagtable(n, m, z->st, srcln, reach);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			tagtable(n, m, j, srcln, reach);
		}
#endif
	}
}

extern Trans *t_id_lkup[];

void
dfs_table(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	Trans *z;

	if (is >= m || is <= 0 || !trans[n][is])
		return;
	if ((reach[is] & (4|8|16)) != 0)
	{	if ((reach[is] & (8|16)) == 16)	/* on stack, not yet recorded */
		{	lpstate[is] = 1;
			reach[is] |= 8; /* recorded */
			if (state_tables && verbose)
			{	printf("state %d line %d is a loopstate\n", is, srcln[is]);
		}	}
		return;
	}
	reach[is] |= (4|16);	/* visited | onstack */
	for (z = trans[n][is]; z; z = z->nxt)
	{	t_id_lkup[z->t_id] = z;
#ifdef HAS_UNLESS
		int i, j;
#endif
		dfs_table(n, m, z->st, srcln, reach, lpstate);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			dfs_table(n, m, j, srcln, reach, lpstate);
		}
#endif
	}
	reach[is] &= ~16; /* no longer on stack */
}
void
do_dfs(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	int i;
	dfs_table(n, m, is, srcln, reach, lpstate);
	for (i = 0; i < m; i++)
		reach[i] &= ~(4|8|16);
}
void
crack(int n, int j, Trans *z, short srcln[])
{	int i;

	if (!z) return;
	printf("	state %3d -(tr %3d)-> state %3d  ",
		j, z->forw, z->st);
	printf("[id %3d tp %3d", z->t_id, z->tpe[0]);
	if (z->tpe[1]) printf(",%d", z->tpe[1]);
#ifdef HAS_UNLESS
	if (z->e_trans)
		printf(" org %3d", z->e_trans);
	else if (state_tables >= 2)
	for (i = 0; i < HAS_UNLESS; i++)
	{	if (!z->escp[i]) break;
		printf(" esc %d", z->escp[i]);
	}
#endif
	printf("]");
	printf(" [%s%s%s%s%s] %s:%d => ",
		z->atom&6?"A":z->atom&32?"D":"-",
		accpstate[n][j]?"a" :"-",
		stopstate[n][j]?"e" : "-",
		progstate[n][j]?"p" : "-",
		z->atom & 8 ?"L":"G",
		PanSource, srcln[j]);
	for (i = 0; z->tp[i]; i++)
		if (z->tp[i] == '\n')
			printf("\\n");
		else
			putchar(z->tp[i]);
	if (verbose && z->qu[0])
	{	printf("\t[");
		for (i = 0; i < 6; i++)
			if (z->qu[i])
				printf("(%d,%d)",
				z->qu[i], z->ty[i]);
		printf("]");
	}
	printf("\n");
	fflush(stdout);
}
/* spin -a m.pml; cc -o pan pan.c; ./pan -D | dot -Tps > foo.ps; ps2pdf foo.ps */
void
dot_crack(int n, int j, Trans *z)
{	int i;

	if (!z) return;
	printf("	S%d -> S%d  [color=black", j, z->st);

	if (z->atom&6) printf(",style=dashed");
	else if (z->atom&32) printf(",style=dotted");
	else if (z->atom&8) printf(",style=solid");
	else printf(",style=bold");

	printf(",label=\"");
	for (i = 0; z->tp[i]; i++)
	{	if (z->tp[i] == '\\'
		&&  z->tp[i+1] == 'n')
		{	i++; printf(" ");
		} else
		{	putchar(z->tp[i]);
	}	}
	printf("\"];\n");
	if (accpstate[n][j]) printf("  S%d [color=red,style=bold];\n", j);
	else if (progstate[n][j]) printf("  S%d [color=green,style=bold];\n", j);
	if (stopstate[n][j]) printf("  S%d [color=blue,style=bold,shape=box];\n", j);
}

#ifdef VAR_RANGES
#define BYTESIZE	32	/* 2^8 : 2^3 = 256:8 = 32 */

typedef struct Vr_Ptr {
	char	*nm;
	uchar	vals[BYTESIZE];
	struct Vr_Ptr *nxt;
} Vr_Ptr;
Vr_Ptr *ranges = (Vr_Ptr *) 0;

void
logval(char *s, int v)
{	Vr_Ptr *tmp;

	if (v<0 || v > 255) return;
	for (tmp = ranges; tmp; tmp = tmp->nxt)
		if (!strcmp(tmp->nm, s))
			goto found;
	tmp = (Vr_Ptr *) emalloc(sizeof(Vr_Ptr));
	tmp->nxt = ranges;
	ranges = tmp;
	tmp->nm = s;
found:
	tmp->vals[(v)/8] |= 1<<((v)%8);
}

void
dumpval(uchar X[], int range)
{	int w, x, i, j = -1;

	for (w = i = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
from:		if ((X[w] & (1<<x)))
		{	printf("%d", i);
			j = i;
			goto upto;
	}	}
	return;
	for (w = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
upto:		if (!(X[w] & (1<<x)))
		{	if (i-1 == j)
				printf(", ");
			else
				printf("-%d, ", i-1);
			goto from;
	}	}
	if (j >= 0 && j != 255)
		printf("-255");
}

void
dumpranges(void)
{	Vr_Ptr *tmp;
	printf("\nValues assigned within ");
	printf("interval [0..255]:\n");
	for (tmp = ranges; tmp; tmp = tmp->nxt)
	{	printf("\t%s\t: ", tmp->nm);
		dumpval(tmp->vals, BYTESIZE);
		printf("\n");
	}
}
#endif
