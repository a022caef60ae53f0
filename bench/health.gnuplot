# Plots false ejections over detection time.
# Usage: gnuplot -e "csv='health.csv'; svg='health.svg'" bench/health.gnuplot
set datafile separator ","
set terminal svg size 800,480 background "white"
set output svg
set xlabel "slowest detection of a hanging backend server in 20 runs [ms]"
set ylabel "ejections a day with one 800 ms pause an hour"
set logscale y
set yrange [0.4:3000]
set xrange [800:2100]
set key top right
# The axis is logarithmic, so a day without false ejections is drawn at 0.5.
shown(x) = x < 0.5 ? 0.5 : x
row(name, stall) = strcol(1) eq name && (stall == 0 || $3 == stall)
plot for [stall in "300 600 1000"] csv skip 1 \
         using (row("grid", stall + 0) ? $6 : NaN):(shown($28)):2 \
         with labels offset 0,0.8 notitle, \
     for [stall in "300 600 1000"] csv skip 1 \
         using (row("grid", stall + 0) ? $6 : NaN):(shown($28)) \
         with points pt 7 title "grid, stall ".stall." ms (label: threshold)", \
     csv skip 1 using (row("default", 0) ? $6 : NaN):(shown($28)) \
         with points pt 4 ps 2 title "default", \
     csv skip 1 using (row("fast", 0) ? $6 : NaN):(shown($28)) \
         with points pt 6 ps 2 title "HEALTH\\_PRESET\\_FAST", \
     csv skip 1 using (row("cautious", 0) ? $6 : NaN):(shown($28)) \
         with points pt 8 ps 2 title "HEALTH\\_PRESET\\_CAUTIOUS"
